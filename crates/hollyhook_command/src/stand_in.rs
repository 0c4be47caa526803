//! Stand-ins of outside systems as processes of their own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use eyre::Result;
use futures::future::pending;
use hollyhook_core::ModelBinding;
use hollyhook_standin::{
    EngineOptions, EngineStandIn, PlatformOptions, PlatformStandIn, ServiceOptions, ServiceStandIn,
};

/// Which stand-in to run.
#[derive(Debug, Args)]
pub(crate) struct StandInArgs {
    #[command(subcommand)]
    kind: StandInKind,
}

#[derive(Debug, Subcommand)]
enum StandInKind {
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service.
    Service {
        /// Where to listen; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// The platform's object API.
    Platform {
        /// Where to listen; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
}

#[derive(Debug, Args)]
struct EngineArgs {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The model's name.
    #[arg(long, default_value = "tutor-7b")]
    model: String,
    /// The version of the weights.
    #[arg(long, default_value = "1")]
    weights: String,
    /// Milliseconds of a decode step, in which every running sequence gets a token.
    #[arg(long, default_value_t = 20)]
    step_ms: u64,
    /// Microseconds to read a token of a prompt that is not cached.
    #[arg(long, default_value_t = 100)]
    prefill_us: u64,
    /// Places in the batch.
    #[arg(long, default_value_t = 64)]
    capacity: u32,
    /// Milliseconds that a load report is late.
    #[arg(long, default_value_t = 500)]
    load_lag_ms: u64,
    /// What the first token depends on, as different engines sample differently.
    #[arg(long, default_value_t = 0)]
    salt: u64,
}

/// Runs the stand-in until the process is ended; prints `listening=ADDRESS` when it serves.
pub(crate) async fn run_stand_in(args: StandInArgs) -> Result<ExitCode> {
    let address = match args.kind {
        StandInKind::Engine(args) => EngineStandIn::start(args.listen, args.options())?.address(),
        StandInKind::Service { listen } => {
            ServiceStandIn::start(listen, ServiceOptions::default().own_process())?.address()
        }
        StandInKind::Platform { listen } => {
            PlatformStandIn::start(listen, PlatformOptions::default().own_process())?.address()
        }
    };
    println!("listening={address}");
    pending().await
}

impl EngineArgs {
    fn options(&self) -> EngineOptions {
        EngineOptions::new(ModelBinding::new(self.model.as_str(), self.weights.as_str()))
            .step(Duration::from_millis(self.step_ms.max(1)))
            .prefill_per_token(Duration::from_micros(self.prefill_us))
            .capacity(self.capacity)
            .load_lag(Duration::from_millis(self.load_lag_ms))
            .salt(self.salt)
            .own_process()
    }
}
