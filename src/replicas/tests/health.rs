use super::*;

// An endpoint resets two of five requests while its health check passes. Each of thirty entries
// sends to it so rarely that none sees consecutive failures of its own, so it was never ejected and
// callers lost two of five requests for as long as the fault lasted.
#[test]
fn a_partially_failing_endpoint_is_ejected_by_the_counts_of_all_entries() {
    let mut health = Health::default();
    (0..30).for_each(|instance| {
        let failures = u32::from(instance % 5 < 2);
        health.merge_answers(
            TimeMs(100 + instance),
            instance,
            AnswerCounts { failures, served: 1 - failures },
        );
    });
    assert!(health.is_ejected(TimeMs(200)));
    assert!(!health.is_ejected(TimeMs(1_300)));
}

#[test]
fn an_endpoint_that_loses_few_answers_is_not_ejected() {
    let mut health = Health::default();
    for request in 0..1_000_u64 {
        let now = TimeMs(request * 50);
        match request % 20 {
            7 => health.record_failure(now),
            _ => health.record_success(now),
        }
        assert!(!health.is_ejected(now), "ejected at request {request}");
    }
}

#[test]
fn a_failed_probation_ejects_an_endpoint_for_longer() {
    let mut health = Health::default();
    (0..3).for_each(|_| health.record_failure(TimeMs(0)));
    assert!(health.is_ejected(TimeMs(499)));
    assert!(!health.is_ejected(TimeMs(1_000)));
    health.record_failure(TimeMs(1_000));
    assert!(health.is_ejected(TimeMs(1_999)));
    assert!(!health.is_ejected(TimeMs(3_000)));
}

// An endpoint fails all requests for five seconds and then recovers. After each ejection, all of
// thirty entries found it idle and sent it requests until each had seen failures of its own, which
// cost ten times as many requests as necessary.
#[test]
fn a_retry_costs_one_request_instead_of_one_per_entry() {
    const DELAY_MS: u64 = 25;
    let mut entries: Vec<_> = (0..30).map(|seed| Health::open(seed * 0x1234_5678_9abc)).collect();
    let mut counts = [AnswerCounts::default(); 30];
    let mut messages: Vec<(u64, usize, AnswerCounts)> = Vec::new();
    let (mut lost, mut served) = (0, 0);
    for now in 0..10_000 {
        for (_, from, answers) in messages.extract_if(.., |(due_at, _, _)| *due_at <= now) {
            let others = entries.iter_mut().enumerate().filter(|(to, _)| *to != from);
            others.for_each(|(_, health)| health.merge_answers(TimeMs(now), from as u64, answers));
        }
        for (index, health) in entries.iter_mut().enumerate() {
            let sends = (now + index as u64 * 7).is_multiple_of(100);
            if !sends || health.is_ejected(TimeMs(now)) {
                continue;
            }
            if now < 5_000 {
                lost += 1;
                health.record_failure(TimeMs(now));
                counts[index].failures += 1;
                messages.push((now + DELAY_MS, index, counts[index]));
            } else {
                served += 1;
                health.record_success(TimeMs(now));
            }
        }
    }
    assert!(lost <= 60, "{lost} requests lost");
    assert!(served > 300, "{served} requests served");
}
