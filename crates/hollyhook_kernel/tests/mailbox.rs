//! Tests of mailboxes.

use async_std::task;
use hollyhook_core::ErrorKind;
use hollyhook_kernel::Mailbox;

/// A message for which a full mailbox has no room arrives once there is room.
#[test]
fn mailbox_full_message_waits() {
    let (mailbox, messages) = Mailbox::bounded("numbers", 1);
    mailbox.post(1).unwrap();
    assert_eq!(mailbox.post(2).unwrap_err().kind(), ErrorKind::Overloaded);
    assert!(!mailbox.post_or_wait(3));
    let received = task::block_on(async { [messages.recv().await.unwrap(), messages.recv().await.unwrap()] });
    assert_eq!(received, [1, 3]);
    assert!(mailbox.post_or_wait(4));
}
