//! The plug-in that opens the replica and starts the control actor.

use std::sync::Arc;

use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_replica::{ReplicaHandle, ReplicaOptions};
use tokio::sync::{mpsc, watch};
use xtra::Mailbox;

use super::{ControlActor, ControlHandle, StateChanges};
use crate::ControlSettings;

inventory::submit! { Plugin::new("state", Program::Control, 0, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<ControlSettings>>()?);
        let mut options = ReplicaOptions::new(settings.replica, &settings.data_dir)
            .peers(settings.peers.iter().copied());
        if let Some(address) = settings.replica_listen {
            options = options.listen(address);
        }
        if let Some(keys) = &settings.keys {
            options = options.keys(keys.clone());
        }
        let opened = ReplicaHandle::open(options).await;
        let (replica, mut applied) = opened.map_err(|source| KernelError::Start {
            plugin: "state",
            source: Box::new(source),
        })?;
        let replica = Arc::new(replica);
        let (version_tx, version) = watch::channel(0);
        let (changes_tx, changes) = mpsc::unbounded_channel();
        let actor = ControlActor::new(Arc::downgrade(&replica), version_tx, changes_tx);
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let handle = ControlHandle::new(replica, actor.clone(), version);
        tokio::spawn(async move {
            while let Some(entry) = applied.recv().await {
                if actor.send(entry).await.is_err() {
                    return;
                }
            }
        });
        cx.provide(handle);
        cx.provide(StateChanges::new(changes));
        Ok(())
    })
}
