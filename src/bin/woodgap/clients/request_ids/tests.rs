use super::*;

#[test]
fn an_id_is_free_again_unless_its_request_must_not_run_twice() {
    let mut ids = RequestIds::new(1 << 20);
    let repeatable = ids.open("a").unwrap();
    assert_eq!(ids.open("a"), Err(IdConflict::Open));
    ids.end(repeatable, false);
    let hash = ids.open("a").unwrap();
    ids.end(hash, true);
    assert_eq!(ids.open("a"), Err(IdConflict::MayHaveRun));
    assert!(ids.open("b").is_ok());
}

#[test]
fn the_number_of_remembered_ids_is_bounded_and_the_oldest_are_forgotten() {
    let mut ids = RequestIds::new(10 * MEMORY_BYTES_PER_ID);
    for n in 0..1_000 {
        let hash = ids.open(&n.to_string()).unwrap();
        ids.end(hash, true);
    }
    assert_eq!((ids.ended.len(), ids.ended_in_order.len(), ids.open.len()), (10, 10, 0));
    assert_eq!(ids.open("990"), Err(IdConflict::MayHaveRun));
    assert!(ids.open("989").is_ok());
}
