pub mod coordinator;
pub mod desk;
pub mod facts;
pub mod replica;
