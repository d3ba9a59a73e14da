//! What a leader knows of its group in one epoch.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use berylgw_core::expert::demand::Demand;
use berylgw_core::expert::switch::{Armed, Switch};
use berylgw_core::expert::{Expert, Layout, Map};
use berylgw_wire::rank as wire;
use tokio::time::Instant;

use crate::engine::{Group, State};
use crate::metrics::Metrics;
use crate::plan;

/// Ranks that report samples. 16 ranks tell the demand within 100 ms as exactly
/// as it has to be known.
const SAMPLED: usize = 24;

/// Versions of maps by which a process that begins to lead goes beyond the
/// highest it can see, at least: one may have been ordered and not reported.
const VERSION_LEAP: u64 = 2;

/// Bits of a version that are drawn at random, so that no two processes use
/// one version for different maps.
const VERSION_BITS: u32 = 16;

/// Least time of a rank for the work that another does in 1, against nonsense
/// in a report.
const FASTEST: f64 = 0.1;

/// Leads one group in one epoch.
pub(crate) struct Tenure {
    pub(crate) switch: Switch,
    /// Short name of the group.
    pub(crate) name: u32,
    pub(crate) group: Group,
    /// Ranks by position: where their processes are reached.
    pub(crate) members: Vec<Option<Seen>>,
    /// Experts that each rank holds, by set, until the maps are known.
    pub(crate) lists: Vec<Option<Lists>>,
    /// The maps in use, and their number.
    pub(crate) maps: Option<(u64, Arc<Vec<Map>>)>,
    pub(crate) next: Option<(u64, Arc<Vec<Map>>)>,
    /// Choices since the last look at the demand.
    pub(crate) counts: Vec<f64>,
    /// Time that each rank takes for the work that another does in 1.
    pub(crate) paces: Vec<f64>,
    pub(crate) demand: Option<Demand>,
    pub(crate) sampled_at: Instant,
    pub(crate) greeted_at: Option<Instant>,
    /// When the present plan was last sent, by rank.
    pub(crate) planned_at: Vec<Option<(u64, Option<u64>, Instant)>>,
    pub(crate) decided_at: Option<Instant>,
    /// The switch for which ranks are being armed, and since when.
    pub(crate) arming: Option<(Armed, Instant)>,
    pub(crate) leapt: bool,
    /// The pass for which the group was last to be held, since when, and by how
    /// many holders in a row it was not.
    pub(crate) hold: Option<Hold>,
}

/// A hold that a holder was asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) pass: u64,
    pub(crate) asked: Instant,
    pub(crate) tries: usize,
}

/// Experts that a rank holds by set, and the number of the map.
type Lists = (u64, Vec<Vec<Expert>>);

/// A process that was heard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    pub(crate) address: SocketAddr,
    pub(crate) at: Instant,
    /// Map that it carries out a plan for.
    pub(crate) planned: u64,
}

impl Tenure {
    pub(crate) fn new(state: State, group: Group) -> Self {
        let mut switch = Switch::new(state.report.epoch, state.size);
        switch.report(0, state.report);
        Tenure {
            switch,
            name: state.group,
            group,
            members: vec![None; state.size],
            lists: vec![None; state.size],
            maps: None,
            next: None,
            counts: Vec::new(),
            paces: vec![1.0; state.size],
            demand: None,
            sampled_at: Instant::now(),
            greeted_at: None,
            planned_at: vec![None; state.size],
            decided_at: None,
            arming: None,
            leapt: false,
            hold: None,
        }
    }

    /// Whether all ranks have been heard.
    pub(crate) fn is_whole(&self) -> bool {
        self.members.iter().all(Option::is_some)
    }

    /// Hosts that may have a rank of the group: those of the service until all
    /// ranks have been heard.
    pub(crate) fn hosts(&self) -> Vec<IpAddr> {
        let members = self.members.iter().flatten();
        let heard = || members.map(|seen| seen.address.ip()).collect();
        let listed = || self.group.ranks.iter().map(SocketAddr::ip).collect();
        if self.is_whole() { heard() } else { listed() }
    }

    /// Whether a rank reports samples.
    pub(crate) fn samples(&self, rank: usize) -> bool {
        let stride = self.switch.ranks().div_ceil(SAMPLED);
        rank.is_multiple_of(stride)
    }

    pub(crate) fn hear(&mut self, from: SocketAddr, status: wire::Status) {
        let rank = status.rank as usize;
        let ranks = self.switch.ranks();
        let same = (status.group, status.epoch) == (self.name, self.switch.epoch());
        if !same || rank >= ranks || status.size as usize != ranks {
            return;
        }
        self.members[rank] = Some(Seen {
            address: from,
            at: Instant::now(),
            planned: status.planned,
        });
        self.switch.report(rank, plan::report(&status));
        self.paces[rank] = f64::from(status.pace).max(FASTEST);
        if !status.lists.is_empty() && self.maps.is_none() {
            let set = |set: &wire::Set| {
                let experts = set.experts.iter();
                experts.map(|expert| Expert::from(*expert as u16)).collect()
            };
            let lists = status.lists.iter().map(set).collect();
            self.lists[rank] = Some((status.version, lists));
        }
        if let Some(sample) = status.sample {
            self.counts.resize(sample.counts.len(), 0.0);
            // Each rank counts alike: one that reads a long prompt has chosen
            // much more often, but for one request only.
            let total: f64 = sample.counts.iter().map(|count| f64::from(*count)).sum();
            for (sum, count) in self.counts.iter_mut().zip(&sample.counts) {
                *sum += f64::from(*count) / total.max(1.0);
            }
        }
    }

    /// Puts the maps together from what the ranks hold.
    pub(crate) fn learn_maps(&mut self) {
        let Some(version) = self.switch.settled_version() else {
            return;
        };
        if self
            .maps
            .as_ref()
            .is_some_and(|(known, _)| *known == version)
        {
            return;
        }
        self.maps = None;
        for lists in &mut self.lists {
            lists.take_if(|(known, _)| *known != version);
        }
        let lists: Option<Vec<_>> = self.lists.iter().map(Option::as_ref).collect();
        let Some(lists) = lists else { return };
        let (ranks, group) = (self.switch.ranks() as u16, &self.group);
        let sets = lists.iter().map(|(_, sets)| sets.len()).min().unwrap_or(0);
        let map = |set: usize| {
            let layout = Layout::new(ranks, group.experts, group.slots)?;
            let held = lists.iter().map(|(_, sets)| sets[set].clone());
            Map::from_ranks(layout, &held.collect::<Vec<_>>())
        };
        match (0..sets).map(map).collect::<Result<Vec<_>, _>>() {
            Ok(maps) if !maps.is_empty() => {
                tracing::info!(version, sets, "maps known");
                self.maps = Some((version, Arc::new(maps)));
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(version, %error, "maps not understood");
                self.lists.fill(None);
            }
        }
    }

    /// Takes the new map over once all ranks use it.
    pub(crate) fn finish(&mut self, metrics: &Metrics) {
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

    pub(crate) fn next_version(&mut self) -> u64 {
        let above = self.switch.highest_version() >> VERSION_BITS;
        let mut number = above + 1;
        if !self.leapt {
            self.leapt = true;
            number = above + VERSION_LEAP + u64::from(rand::random::<u16>());
        }
        (number << VERSION_BITS) + u64::from(rand::random::<u16>())
    }
}
