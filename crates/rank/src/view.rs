//! The leader's view of its group within one epoch.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::expert::demand::Demand;
use berylgw_core::expert::switch::{Armed, Switch};
use berylgw_core::expert::{Expert, Layout, Map};
use berylgw_wire::rank as wire;
use tokio::time::Instant;

use crate::engine::{Service, State};
use crate::member::SAMPLE_INTERVAL;
use crate::metrics::Metrics;
use crate::plan;

/// Maximum number of ranks that report samples. In a group with more ranks every
/// n-th one reports. Samples of 16 ranks over 100 ms suffice to estimate the
/// demand with the required accuracy.
const MAX_SAMPLED_RANKS: usize = 24;

/// Number of ranks that report samples however slow the leader's link is.
const MIN_SAMPLED_RANKS: usize = 12;

/// Share of the leader's link that samples may take up.
const SAMPLE_LINK_SHARE: f64 = 0.5;

/// Bytes of a sample in addition to the counts.
const SAMPLE_OVERHEAD_BYTES: usize = 200;

/// Minimum distance between the highest reported map version and the first
/// version of a new leader, both without their random low bits: a higher version
/// may have been ordered but not yet reported. The leader adds a random increase
/// to the margin, so that two new leaders hardly ever use the same number.
const VERSION_MARGIN: u64 = 2;

/// Number of low bits of a version that are random, so that two processes do
/// not use the same version for different maps.
const RANDOM_VERSION_BITS: u32 = 16;

/// Lower bound on the relative pace of a rank, against invalid reports.
const MIN_PACE: f64 = 0.1;

/// State of the leader for one group in one epoch.
pub(crate) struct View {
    pub(crate) switch: Switch,
    /// Short identifier of the group.
    pub(crate) group_id: u32,
    pub(crate) service: Service,
    /// Rate of the leader's link.
    pub(crate) link_mbps: f64,
    /// Sidecar of each rank, by position, once it has reported.
    pub(crate) sidecars: Vec<Option<Sidecar>>,
    /// Maps that each sidecar has, by position.
    pub(crate) progress: Vec<Progress>,
    /// Experts that each rank holds, by set; collected until the maps are known.
    pub(crate) held_experts: Vec<Option<ExpertsOfRank>>,
    /// Version and maps in use.
    pub(crate) maps: Option<(u64, Arc<Vec<Map>>)>,
    /// Version and maps that the group is switching to.
    pub(crate) next: Option<(u64, Arc<Vec<Map>>)>,
    /// Share of each expert in the choices, summed over the samples since the
    /// demand was last updated; all sets concatenated.
    pub(crate) shares: Vec<f64>,
    /// Time that each rank takes for a unit of work, relative to another rank;
    /// larger is slower.
    pub(crate) paces: Vec<f64>,
    pub(crate) demand: Option<Demand>,
    /// When the leader last checked whether to switch.
    pub(crate) checked_at: Instant,
    pub(crate) hello_sent_at: Option<Instant>,
    /// Version, pass and time of the last plan sent to each rank.
    pub(crate) planned_at: Vec<Option<(u64, Option<u64>, Instant)>>,
    /// When the leader last decided to switch.
    pub(crate) decided_at: Option<Instant>,
    /// Switch that ranks are being armed for, and when arming began.
    pub(crate) arming: Option<(Armed, Instant)>,
    /// Whether this leader has issued a version.
    pub(crate) issued_version: bool,
    /// Last hold that was requested.
    pub(crate) hold: Option<Hold>,
}

/// A requested hold of the group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    /// Pass that must not begin.
    pub(crate) pass: u64,
    /// When it was last requested.
    pub(crate) requested_at: Instant,
    /// Number of requests so far.
    pub(crate) attempts: usize,
}

/// Version of the map, and the experts that a rank holds by set.
type ExpertsOfRank = (u64, Vec<Vec<Expert>>);

/// A sidecar that has reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sidecar {
    pub(crate) address: SocketAddr,
    /// When its last status arrived.
    pub(crate) reported_at: Instant,
    /// Version in the last plan that it received; 0 if none.
    pub(crate) planned_version: u64,
}

/// Maps that a sidecar has, as of its last status.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Versions of the maps that it has whole.
    pub(crate) maps: Vec<u64>,
    /// Version of which some parts have arrived, and the sets that have not.
    pub(crate) incoming: (u64, Vec<u32>),
}

impl Progress {
    /// Returns whether the sidecar needs a part, given the sets of the part.
    pub(crate) fn needs(&self, version: u64, first_set: u32, end: u32) -> bool {
        let (incoming, missing) = &self.incoming;
        *incoming != version || missing.iter().any(|set| (first_set..end).contains(set))
    }
}

impl View {
    pub(crate) fn new(state: State, service: Service, link_mbps: f64) -> Self {
        let mut switch = Switch::new(state.report.epoch, state.size);
        switch.report(0, state.report);
        View {
            switch,
            group_id: state.group,
            service,
            link_mbps,
            sidecars: vec![None; state.size],
            progress: vec![Progress::default(); state.size],
            held_experts: vec![None; state.size],
            maps: None,
            next: None,
            shares: Vec::new(),
            paces: vec![1.0; state.size],
            demand: None,
            checked_at: Instant::now(),
            hello_sent_at: None,
            planned_at: vec![None; state.size],
            decided_at: None,
            arming: None,
            issued_version: false,
            hold: None,
        }
    }

    /// Returns whether the sidecars of all ranks have reported.
    pub(crate) fn is_complete(&self) -> bool {
        self.sidecars.iter().all(Option::is_some)
    }

    /// Returns the hosts that may run a rank of the group: all hosts of the
    /// service until every rank has reported.
    pub(crate) fn hosts(&self) -> Vec<IpAddr> {
        let sidecars = self.sidecars.iter().flatten();
        let reported = || sidecars.map(|sidecar| sidecar.address.ip()).collect();
        let listed = || self.service.ranks.iter().map(SocketAddr::ip).collect();
        if self.is_complete() {
            reported()
        } else {
            listed()
        }
    }

    /// Returns whether a rank reports samples.
    pub(crate) fn is_sampled(&self, rank: usize) -> bool {
        let limit = (self.samples_per_second() * SAMPLE_INTERVAL.as_secs_f64()) as usize;
        let limit = limit.clamp(MIN_SAMPLED_RANKS, MAX_SAMPLED_RANKS);
        rank.is_multiple_of(self.switch.ranks().div_ceil(limit))
    }

    /// Returns the time between two samples of a rank, at which all samples
    /// together fit the leader's link.
    pub(crate) fn sample_interval(&self) -> Duration {
        let ranks = 0..self.switch.ranks();
        let sampled = ranks.filter(|rank| self.is_sampled(*rank)).count();
        let interval = Duration::from_secs_f64(sampled as f64 / self.samples_per_second());
        interval.max(SAMPLE_INTERVAL)
    }

    fn samples_per_second(&self) -> f64 {
        let sets = self.maps.as_ref().map_or(0, |(_, maps)| maps.len());
        let bytes = sets * usize::from(self.service.experts) + SAMPLE_OVERHEAD_BYTES;
        self.link_mbps * 1e6 / 8.0 * SAMPLE_LINK_SHARE / bytes as f64
    }

    /// Records the status of a rank; ignores other groups and epochs.
    pub(crate) fn handle_status(&mut self, from: SocketAddr, status: wire::Status) {
        let rank = status.rank as usize;
        let ranks = self.switch.ranks();
        let is_current = (status.group, status.epoch) == (self.group_id, self.switch.epoch());
        if !is_current || rank >= ranks || status.size as usize != ranks {
            return;
        }
        self.sidecars[rank] = Some(Sidecar {
            address: from,
            reported_at: Instant::now(),
            planned_version: status.planned,
        });
        self.progress[rank] = Progress {
            maps: status.maps.clone(),
            incoming: (status.incoming, status.missing.clone()),
        };
        self.switch.report(rank, plan::report(&status));
        self.paces[rank] = f64::from(status.pace).max(MIN_PACE);
        if !status.lists.is_empty() && self.maps.is_none() {
            let set = |set: &wire::Set| {
                let experts = set.experts.iter();
                experts.map(|expert| Expert::from(*expert as u16)).collect()
            };
            let sets = status.lists.iter().map(set).collect();
            self.held_experts[rank] = Some((status.version, sets));
        }
        if let Some(sample) = status.sample {
            self.shares.resize(sample.counts.len(), 0.0);
            // All ranks have equal weight: a rank that prefills a long prompt
            // makes many more choices, but for a single request.
            let total: f64 = sample.counts.iter().map(|count| f64::from(*count)).sum();
            for (sum, count) in self.shares.iter_mut().zip(&sample.counts) {
                *sum += f64::from(*count) / total.max(1.0);
            }
        }
    }

    /// Assembles the maps from the experts that the ranks report.
    pub(crate) fn assemble_maps(&mut self) {
        let Some(version) = self.switch.settled_version() else {
            return;
        };
        if self
            .maps
            .as_ref()
            .is_some_and(|(current, _)| *current == version)
        {
            return;
        }
        self.maps = None;
        for held in &mut self.held_experts {
            held.take_if(|(reported, _)| *reported != version);
        }
        let held: Option<Vec<_>> = self.held_experts.iter().map(Option::as_ref).collect();
        let Some(held) = held else { return };
        let (ranks, service) = (self.switch.ranks() as u16, &self.service);
        let sets = held.iter().map(|(_, sets)| sets.len()).min().unwrap_or(0);
        let map = |set: usize| {
            let layout = Layout::new(ranks, service.experts, service.slots)?;
            let experts = held.iter().map(|(_, sets)| sets[set].clone());
            Map::from_ranks(layout, &experts.collect::<Vec<_>>())
        };
        match (0..sets).map(map).collect::<Result<Vec<_>, _>>() {
            Ok(maps) if !maps.is_empty() => {
                tracing::info!(version, sets, "maps known");
                self.maps = Some((version, Arc::new(maps)));
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(version, %error, "maps not assembled from the reports of the ranks");
                self.held_experts.fill(None);
            }
        }
    }

    /// Adopts the next maps once all ranks use them.
    pub(crate) fn adopt_next_maps(&mut self, metrics: &Metrics) {
        let Some((version, _)) = self.next else {
            return;
        };
        if self.switch.settled_version() != Some(version) {
            return;
        }
        let pass = self.switch.last_report(0).map_or(0, |report| report.pass);
        tracing::info!(version, pass, "map in use");
        metrics.switches.inc();
        self.maps = self.next.take();
    }

    /// Returns a version above all reported ones.
    pub(crate) fn next_version(&mut self) -> u64 {
        // A plan that no rank has prepared is known from the sidecars only.
        let planned = self.sidecars.iter().flatten();
        let planned = planned.map(|sidecar| sidecar.planned_version).max();
        let highest = self.switch.highest_version().max(planned.unwrap_or(0));
        let highest = highest >> RANDOM_VERSION_BITS;
        let mut number = highest + 1;
        if !self.issued_version {
            self.issued_version = true;
            number = highest + VERSION_MARGIN + u64::from(rand::random::<u16>());
        }
        (number << RANDOM_VERSION_BITS) + u64::from(rand::random::<u16>())
    }
}
