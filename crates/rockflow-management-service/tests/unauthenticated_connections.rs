//! The limit on concurrent connections whose peer is not authenticated yet.

use rockflow_management_service::UnauthenticatedConnections;

#[tokio::test]
async fn evicts_the_oldest_connection_at_the_limit_and_removes_dropped_ones() {
    let connections = UnauthenticatedConnections::new(2);
    let (first, second) = (connections.admit(), connections.admit());
    drop(second);
    let third = connections.admit();
    assert_eq!(connections.len(), 2);
    let _fourth = connections.admit();
    first.evicted().await;
    assert_eq!(connections.len(), 2);
    let _fifth = connections.admit();
    third.evicted().await;
    drop((first, third));
    assert_eq!(connections.len(), 2);
}
