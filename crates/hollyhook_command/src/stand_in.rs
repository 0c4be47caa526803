//! Stand-ins for external systems, each run as a process of its own.

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

/// Arguments of `hollyhook stand-in`: the stand-in to run.
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
        /// Address to listen on; port 0 selects a free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// The platform's object API.
    Platform {
        /// Address to listen on; port 0 selects a free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
}

#[derive(Debug, Args)]
struct EngineArgs {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Name of the model.
    #[arg(long, default_value = "tutor-7b")]
    model: String,
    /// Version of the model's weights.
    #[arg(long, default_value = "1")]
    weights: String,
    /// Duration of a decode step in milliseconds; every running sequence gets a token per step.
    #[arg(long, default_value_t = 20)]
    step_ms: u64,
    /// Time to read a prompt token that is not cached, in microseconds.
    #[arg(long, default_value_t = 100)]
    prefill_us: u64,
    /// Slots in the batch.
    #[arg(long, default_value_t = 64)]
    capacity: u32,
    /// Age of a load report in milliseconds.
    #[arg(long, default_value_t = 500)]
    load_lag_ms: u64,
    /// Salt of the first token; engines with different salts sample differently.
    #[arg(long, default_value_t = 0)]
    salt: u64,
}

/// Runs a stand-in until the process is terminated; prints `listening=ADDRESS` once the stand-in serves requests.
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
