//! Tenant keys: digests, the keys document, revocations received directly.

use {
    dogwoodbridge::keys::{
        KEY_PREFIX, KeyDigest, KeysError, KeysRecord, Revocations, new_key,
        spawn_revocation_exchange,
    },
    std::collections::HashSet,
    tokio::sync::{broadcast, mpsc},
    tokio_util::sync::CancellationToken,
};

#[test]
fn keys_are_long_random_and_valid_in_headers() {
    let keys: HashSet<String> = (0..100).map(|_| new_key()).collect();
    assert_eq!(keys.len(), 100);
    for key in keys {
        let random = key
            .strip_prefix(KEY_PREFIX)
            .expect("the key has the prefix");
        assert_eq!(random.len(), 43, "256 bits in base64");
        assert!(
            key.chars()
                .all(|c| c.is_ascii_alphanumeric() || "-_".contains(c))
        );
    }
}

/// A text, and whether it is a valid digest.
struct DigestText {
    text: String,
    valid: bool,
}

#[test]
fn parses_digests() {
    let digest = KeyDigest::of_key("abc");
    let hex = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(digest.to_string(), hex);
    let cases = [
        DigestText {
            text: hex.to_owned(),
            valid: true,
        },
        DigestText {
            text: hex.to_uppercase(),
            valid: true,
        },
        DigestText {
            text: hex[1..].to_owned(),
            valid: false,
        },
        DigestText {
            text: format!("{hex}0"),
            valid: false,
        },
        DigestText {
            text: hex.replace('b', "g"),
            valid: false,
        },
        DigestText {
            text: hex.replace("ba", "+a"),
            valid: false,
        },
        DigestText {
            text: "é".repeat(32),
            valid: false,
        },
        DigestText {
            text: String::new(),
            valid: false,
        },
    ];
    for case in cases {
        assert_eq!(
            case.text.parse::<KeyDigest>().is_ok(),
            case.valid,
            "{}",
            case.text
        );
    }
}

#[test]
fn any_text_is_parsed_without_panic() {
    bolero::check!().with_type::<String>().for_each(|text| {
        if let Ok(digest) = text.parse::<KeyDigest>() {
            assert_eq!(digest.to_string(), text.to_lowercase());
        }
    });
}

#[test]
fn any_document_is_parsed_without_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = KeysRecord::read(bytes);
    });
}

#[test]
fn a_revocation_cannot_be_undone() {
    let digest = KeyDigest::of_key("k1");
    let mut record = KeysRecord::default();
    assert!(record.grant(digest, "shop", 1).expect("a new key"));
    assert!(!record.grant(digest, "shop", 2).expect("already granted"));
    let other_workspace = record.grant(digest, "other", 2);
    assert!(matches!(
        other_workspace,
        Err(KeysError::GrantedElsewhere { .. })
    ));
    assert!(record.revoke(digest, 3));
    assert!(!record.revoke(digest, 4));
    assert!(matches!(
        record.grant(digest, "shop", 5),
        Err(KeysError::Revoked)
    ));
    let read = KeysRecord::read(&record.write()).expect("parses what it wrote");
    assert_eq!(read, record);
}

#[test]
fn the_document_contains_no_key() {
    let key = new_key();
    let mut record = KeysRecord::default();
    record
        .grant(KeyDigest::of_key(&key), "shop", 1)
        .expect("a new key");
    let text = String::from_utf8(record.write()).expect("JSON");
    assert!(!text.contains(&key) && !text.contains(&key[KEY_PREFIX.len()..]));
}

#[tokio::test]
async fn revocations_are_sent_once_and_kept_until_the_document_has_them() {
    let revocations = Revocations::new();
    let mut added = revocations.subscribe_new();
    let digest = KeyDigest::of_key("k1");
    assert!(revocations.apply(digest));
    assert!(!revocations.apply(digest));
    assert_eq!(added.recv().await.expect("sent"), digest);
    assert!(added.try_recv().is_err());
    revocations.remove_in_document(&HashSet::from([KeyDigest::of_key("k2")]));
    assert!(revocations.pending().contains(&digest));
    revocations.remove_in_document(&HashSet::from([digest]));
    assert!(revocations.pending().is_empty());
}

#[tokio::test]
async fn revocations_are_exchanged_between_the_set_and_gossip() {
    let revocations = Revocations::new();
    let (to_gossip, mut sent) = mpsc::channel(8);
    let (gossip, from_gossip) = broadcast::channel(8);
    let shutdown = CancellationToken::new();
    spawn_revocation_exchange(
        revocations.clone(),
        to_gossip,
        from_gossip,
        shutdown.clone(),
    );
    let (local, received) = (KeyDigest::of_key("k1"), KeyDigest::of_key("k2"));
    revocations.apply(local);
    assert_eq!(sent.recv().await.expect("sent"), [local]);
    let mut pending = revocations.subscribe();
    gossip
        .send(vec![local, received])
        .expect("the task receives");
    pending
        .wait_for(|pending| pending.contains(&received))
        .await
        .expect("the set exists");
    shutdown.cancel();
}
