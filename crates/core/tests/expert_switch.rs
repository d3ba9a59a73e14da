//! Reordered reports of ranks during a switch of maps.

use berylgw_core::expert::switch::{Action, Armed, Report, Switch};

const GOAL: Armed = Armed {
    version: 7,
    pass: 3,
};

/// Returns a switch of two ranks to map 7 that is held before pass 3, and the last
/// reports of both ranks.
fn held() -> (Switch, Report, Report) {
    let open = Report {
        epoch: 1,
        open: true,
        ..Report::default()
    };
    let mut switch = Switch::new(1, 2);
    switch.report(0, open);
    let prepared = Report {
        pass: 2,
        prepared: Some(7),
        ..open
    };
    switch.report(0, Report { pass: 2, ..open });
    switch.report(1, prepared);
    assert!(switch.set_target(7));
    switch.report(0, prepared);
    assert_eq!(switch.next_action(), Action::Hold { pass: 3 });
    let first = Report {
        held: Some(3),
        ..prepared
    };
    switch.report(0, first);
    (switch, first, prepared)
}

/// Guards against a group that stays held because a report sent before a rank was
/// armed arrives after the report that it is armed.
#[test]
fn report_overtaken() {
    let (mut switch, first, second) = held();
    assert_eq!(switch.next_action(), Action::Arm(GOAL));
    let armed = |report: Report| Report {
        armed: Some(GOAL),
        ..report
    };
    switch.report(0, armed(first));
    switch.report(1, armed(second));
    assert_eq!(switch.next_action(), Action::Release { pass: 3 });
    switch.report(1, second);
    switch.report(0, first);
    assert_eq!(switch.next_action(), Action::Release { pass: 3 });
}

/// Guards against discarding, as outdated, a report of the next pass or of another
/// arming in the same pass.
#[test]
fn report_newer() {
    let (mut switch, first, second) = held();
    let other = Armed {
        version: 7,
        pass: 4,
    };
    let armed = |report: Report, armed| Report { armed, ..report };
    switch.report(0, armed(first, Some(GOAL)));
    switch.report(1, armed(second, Some(GOAL)));
    switch.report(1, armed(second, Some(other)));
    assert_eq!(
        switch.last_report(1).and_then(|report| report.armed),
        Some(other)
    );
    let next = Report {
        pass: 3,
        version: 7,
        prepared: None,
        ..second
    };
    switch.report(1, next);
    assert_eq!(switch.last_report(1), Some(&next));
}
