use std::sync::Arc;

use hollyhook_core::{EndpointId, Name};
use hollyhook_wire::{ConnectionGate, EndpointRow, HostReport, StatusReport};

use crate::fleet::HostContext;
use hollyhook_telemetry::ProcessUsage;

/// Version of a configuration that is read from files; versions assigned by the platform start at 1.
const FILE_VERSION: u64 = 0;

/// The report that a daemon sends to other daemons.
pub(super) fn host_report(context: &Arc<HostContext>, gate: &ConnectionGate) -> HostReport {
    HostReport {
        host: Name::clone(&context.host),
        zone: Name::clone(&context.zone),
        config_version: FILE_VERSION,
        config_digest: Name::clone(&context.site.digest),
        is_draining: gate.is_draining(),
        generations: gate.requests() as u32,
    }
}

/// The status that a daemon reports to the operator's command.
pub(super) fn status_report(context: &Arc<HostContext>, gate: &ConnectionGate) -> StatusReport {
    let usage = ProcessUsage::read();
    let now = context.timer.now();
    let endpoints = {
        let table = context.fleet.lock();
        let rows = table.iter().map(|record| EndpointRow {
            endpoint: EndpointId::clone(&record.id),
            service: Name::clone(&record.service),
            zone: Name::clone(&record.zone),
            state: record.state,
            is_ejected: record.is_ejected(now),
            open: record.open,
            pressure: record.pressure(None),
        });
        rows.collect()
    };
    StatusReport {
        host: host_report(context, gate),
        uptime_secs: now.as_micros() / 1_000_000,
        connections: gate.connections() as u64,
        cpu_ms: usage.cpu_ms,
        memory_bytes: usage.memory_bytes,
        endpoints,
        counters: context.recorder.counter_rows(),
        histograms: context.recorder.histogram_rows(),
    }
}
