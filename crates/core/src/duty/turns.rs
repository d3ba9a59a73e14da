/// What a call is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Subject {
    /// The usage report of a window.
    #[display("report")]
    Report,
    /// The order for a number of servers.
    #[display("order")]
    Order,
}

/// Reports between two orders while both are due. A backlog of reports must not delay an
/// order by seconds, and orders must not make reports late.
const REPORTS_PER_ORDER: u32 = 2;

/// Chooses the next call.
///
/// ```
/// use berylgw_core::duty::{Subject, Turns};
///
/// let mut turns = Turns::default();
/// let chosen: Vec<_> = (0..3).filter_map(|_| turns.choose(true, true)).collect();
/// assert_eq!(chosen, [Subject::Report, Subject::Report, Subject::Order]);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turns {
    reports: u32,
}

impl Turns {
    /// Returns the subject of the next call, of those that are due, and counts it.
    pub fn choose(&mut self, report: bool, order: bool) -> Option<Subject> {
        if report && !(order && self.reports >= REPORTS_PER_ORDER) {
            self.reports += 1;
            return Some(Subject::Report);
        }
        self.reports = 0;
        order.then_some(Subject::Order)
    }
}
