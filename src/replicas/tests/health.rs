use super::*;

// An endpoint resets four of ten requests while its health check is good. Thirty entries send to it,
// each so seldom that none sees three failures in a row; its callers lost two of five calls for as
// long as that lasted.
#[test]
fn an_endpoint_that_fails_in_part_is_left_out_by_what_all_entries_see() {
    let mut health = Health::default();
    (0..30).for_each(|life| {
        let failures = u32::from(life % 5 < 2);
        health.told(TimeMs(100 + life), life, AnswerCounts { failures, served: 1 - failures });
    });
    assert!(health.is_ejected(TimeMs(200)));
    assert!(!health.is_ejected(TimeMs(1_300)));
}

#[test]
fn an_endpoint_that_loses_few_answers_stays_in_use() {
    let mut health = Health::default();
    for request in 0..1_000_u64 {
        let now = TimeMs(request * 50);
        match request % 20 {
            7 => health.record_failure(now),
            _ => health.record_success(now),
        }
        assert!(!health.is_ejected(now), "{request}");
    }
}

#[test]
fn a_failed_trial_leaves_an_endpoint_out_for_longer() {
    let mut health = Health::default();
    (0..3).for_each(|_| health.record_failure(TimeMs(0)));
    assert!(health.is_ejected(TimeMs(499)));
    assert!(!health.is_ejected(TimeMs(1_000)));
    health.record_failure(TimeMs(1_000));
    assert!(health.is_ejected(TimeMs(1_999)));
    assert!(!health.is_ejected(TimeMs(3_000)));
}

// An endpoint fails all requests for five seconds and is sound then. Whenever it had been left out
// for a while, each of thirty entries took it for idle and sent it requests until each had seen
// failures of its own: callers lost ten times as many requests as it takes to find out.
#[test]
fn a_trial_costs_one_request_and_not_one_of_every_entry() {
    const NEWS_MS: u64 = 25;
    let mut entries: Vec<_> = (0..30).map(|seed| Health::open(seed * 0x1234_5678_9abc)).collect();
    let mut counts = [AnswerCounts::default(); 30];
    let mut news: Vec<(u64, usize, AnswerCounts)> = Vec::new();
    let (mut lost, mut served) = (0, 0);
    for now in 0..10_000 {
        for (_, from, answers) in news.extract_if(.., |(at, _, _)| *at <= now) {
            let others = entries.iter_mut().enumerate().filter(|(to, _)| *to != from);
            others.for_each(|(_, health)| health.told(TimeMs(now), from as u64, answers));
        }
        for (at, health) in entries.iter_mut().enumerate() {
            let asks = (now + at as u64 * 7).is_multiple_of(100);
            if !asks || health.is_ejected(TimeMs(now)) {
                continue;
            }
            if now < 5_000 {
                lost += 1;
                health.record_failure(TimeMs(now));
                counts[at].failures += 1;
                news.push((now + NEWS_MS, at, counts[at]));
            } else {
                served += 1;
                health.record_success(TimeMs(now));
            }
        }
    }
    assert!(lost <= 60, "{lost}");
    assert!(served > 300, "{served}");
}
