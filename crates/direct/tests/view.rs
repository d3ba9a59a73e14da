//! What the view keeps of servers.

use std::sync::Arc;

use berylgw_direct::backend::Server;
use berylgw_direct::view::{Part, Publisher, Source};

fn server(born: Option<u64>, draining: bool) -> Server {
    Server {
        id: "i-1".into(),
        born,
        service: "yard".into(),
        address: ([127, 0, 0, 1], 8_080).into(),
        domain: "shed".into(),
        slots: 6,
        draining,
    }
}

/// Guards against a new process that gets no requests because an earlier one of its
/// id drained, and against one that drains and gets them again.
#[test]
fn drained_process_told_from_new_one() {
    for (before, after, drains) in [
        (Some(1), Some(1), true),
        (Some(1), Some(2), false),
        (None, None, false),
    ] {
        let views = Publisher::default();
        let lists = [
            vec![server(before, true)],
            vec![],
            vec![server(after, false)],
        ];
        for (number, servers) in (1..).zip(lists) {
            let revision = u64::into(number);
            let value = Arc::new(servers);
            views.set_servers(Part { revision, value }, Source::Store);
        }
        let view = views.view();
        assert_eq!(
            view.servers.value[0].draining, drains,
            "{before:?} {after:?}"
        );
    }
}
