use super::*;

#[tokio::test]
async fn a_share_gives_bytes_in_order_and_takes_them_back() {
    let share = MemoryShare::new(MIN_SHARE_BYTES);
    let most = share.try_acquire(MIN_SHARE_BYTES - MAX_BODY_BYTES).unwrap();
    assert!(!share.is_short());
    let rest = share.try_acquire(MAX_BODY_BYTES).unwrap();
    assert!(share.is_short() && share.try_acquire(1).is_none());
    let (long, short) = (share.clone(), share.clone());
    let long = tokio::spawn(async move { long.acquire(MIN_SHARE_BYTES).await });
    tokio::task::yield_now().await;
    let short = tokio::spawn(async move { short.acquire(1).await });
    drop(rest);
    tokio::task::yield_now().await;
    // The short one would fit, but came later.
    assert!(!long.is_finished() && !short.is_finished());
    drop(most);
    drop(long.await.unwrap());
    assert!(short.await.unwrap().is_some());
}

#[test]
fn a_request_for_more_than_the_share_gets_the_whole_share() {
    let share = MemoryShare::new(0);
    assert!(share.try_acquire(usize::MAX).is_some());
}

#[test]
fn the_shares_leave_the_wanted_part_of_the_limit() {
    let budget = MemoryBudget::new(100 << 20, Some(10 << 20));
    let shares = [&budget.connections, &budget.arriving, &budget.open_requests, &budget.responses];
    let total_bytes: usize = shares.iter().map(|share| share.total_units * UNIT_BYTES).sum();
    let most = (100 << 20) as f64 * (MAX_RESIDENT_FRACTION - UNBUDGETED_FRACTION) - (10 << 20) as f64;
    assert!(total_bytes as f64 * (1.0 + ALLOCATOR_OVERHEAD) <= most);
}

#[test]
fn bytes_return_their_permit_with_the_last_reference() {
    let share = MemoryShare::new(MIN_SHARE_BYTES);
    let permit = share.try_acquire(MIN_SHARE_BYTES);
    let bytes = hold_permit(Bytes::from_static(b"body"), permit);
    let slice = bytes.slice(1..);
    drop(bytes);
    assert_eq!((&slice[..], share.try_acquire(1).is_none()), (b"ody".as_slice(), true));
    drop(slice);
    assert!(share.try_acquire(MIN_SHARE_BYTES).is_some());
}

#[test]
fn the_system_tells_how_much_the_process_holds() {
    assert!(read_resident_bytes().is_some_and(|bytes| bytes > 1 << 20));
}
