use super::*;

#[test]
fn connections_with_the_most_memory_are_closed_until_the_rest_fits() {
    let mut memory = StreamMemory::new(100);
    for (id, bytes) in [(1, 10), (2, 40), (3, 50)] {
        memory.set(id, bytes);
    }
    assert_eq!(memory.largest_over_limit(), None);
    memory.set(1, 20);
    assert_eq!(memory.largest_over_limit(), Some(3));
    memory.set(3, 0);
    assert_eq!(memory.largest_over_limit(), None);
    // A connection is charged for what it uses now, not for the sum of its reports.
    memory.set(2, 30);
    memory.set(4, 50);
    assert_eq!(memory.largest_over_limit(), None);
    memory.set(5, 50);
    assert_eq!(memory.largest_over_limit(), Some(4));
}
