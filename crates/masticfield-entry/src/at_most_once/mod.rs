//! Requests that run at most once: those in progress, and responses stored for resends.

mod plugin;
mod response_store_actor;
mod stored_response;

pub(crate) use response_store_actor::{
    BeginDispatch, EndDispatch, LookUp, LookupReply, ResponseStoreActor,
};
pub(crate) use stored_response::StoredResponse;
