//! Forged and malformed input is rejected without a panic.

use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornlink_core::balancer::Candidate;
use buckthornlink_core::member::{Digest, Fact, Load, Phase, Role, ZoneRecord};
use buckthornlink_core::message::{Ack, Exchange, Heartbeat, MAX_FACTS, Message, StoreView};
use buckthornlink_core::store::StoreAnswer;
use buckthornlink_core::{BootId, Millis, ServicePort, Version, ZoneTag};
use buckthornlink_wire::{
    CID_BYTES, CidCodec, DecodeError, FlowLocation, Header, KeyRing, MAX_HEADER_BYTES,
    QuicHeaderParser, ReturnHeader, control,
};
use bytes::BytesMut;
use proptest::prelude::*;

/// Cases per property.
const CASES: u32 = 2_000;

fn keys() -> KeyRing {
    KeyRing::single(1, &[7; 32])
}

fn addr() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(255, 254, 253, 252), 65_535)
}

fn location() -> FlowLocation {
    FlowLocation {
        agent: addr(),
        service: ServicePort(65_535),
        zone: ZoneTag(65_535),
        boot: 65_535,
    }
}

fn headers() -> Vec<Header> {
    let (service, caller, via) = (ServicePort(4433), addr(), addr());
    let candidate = Candidate {
        addr: addr(),
        flows: u32::MAX,
    };
    let load = Load {
        flows: u32::MAX,
        weight: 255,
        pressure: 255,
    };
    vec![
        Header::Opener {
            service,
            caller,
            via,
            hops: 2,
            rest: vec![candidate; 3],
        },
        Header::Flow {
            service,
            caller,
            via,
        },
        Header::Orphan {
            service,
            caller,
            via,
        },
        Header::Return(ReturnHeader {
            service,
            caller,
            phase: Phase::Left,
            load,
        }),
        Header::Control,
    ]
}

fn encoded(header: &Header, payload: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    header.encode(keys().current(), payload, &mut out);
    out.to_vec()
}

fn fact() -> Fact {
    Fact {
        addr: addr(),
        role: Role::Agent(ServicePort(65_535)),
        zone: ZoneTag(65_535),
        boot: BootId(u64::MAX),
        seq: u32::MAX,
        phase: Phase::Draining,
    }
}

#[test]
fn envelopes_round_trip() {
    for header in headers() {
        let bytes = encoded(&header, b"payload");
        let (decoded, start) = Header::decode(&bytes, &keys()).unwrap();
        assert_eq!(decoded, header);
        assert_eq!(&bytes[start..], b"payload");
        assert!(start <= MAX_HEADER_BYTES);
    }
}

#[test]
fn every_altered_bit_of_a_header_is_detected() {
    for header in headers() {
        let bytes = encoded(&header, b"");
        for bit in 0..bytes.len() * 8 {
            let mut altered = bytes.clone();
            altered[bit / 8] ^= 1 << (bit % 8);
            assert!(
                Header::decode(&altered, &keys()).is_err(),
                "bit {bit} of {header:?}"
            );
        }
    }
}

#[test]
fn truncated_envelopes_are_rejected() {
    for header in headers() {
        let bytes = encoded(&header, b"");
        for len in 0..bytes.len() {
            assert!(Header::decode(&bytes[..len], &keys()).is_err());
        }
    }
}

#[test]
fn altered_payload_of_a_control_message_is_detected() {
    let mut bytes = encoded(&Header::Control, b"payload");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    assert_eq!(
        Header::decode(&bytes, &keys()).unwrap_err(),
        DecodeError::Forged
    );
}

#[test]
fn every_altered_bit_of_a_connection_id_is_detected() {
    let cid = CidCodec::seal(&location(), 5, keys().current());
    for bit in 0..CID_BYTES * 8 {
        let mut altered = cid;
        altered[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(CidCodec::open(&altered, &keys()), None, "bit {bit}");
    }
}

#[test]
fn connection_id_opens_until_its_key_is_removed() {
    use buckthornlink_wire::Key;
    let old = Key::derive(1, &[1; 32]);
    let new = Key::derive(2, &[2; 32]);
    let cid = CidCodec::seal(&location(), 1, &old);
    let both = KeyRing::new(vec![new.clone(), old]).unwrap();
    assert_eq!(CidCodec::open(&cid, &both), Some(location()));
    let after = KeyRing::new(vec![new]).unwrap();
    assert_eq!(CidCodec::open(&cid, &after), None);
}

#[test]
fn message_sizes_are_not_underestimated() {
    let zones = vec![
        ZoneRecord {
            zone: ZoneTag(65_535),
            seq: (1 << 31).into(),
            out: true
        };
        8
    ];
    let load = Load {
        flows: 1 << 31,
        weight: 255,
        pressure: 255,
    };
    let version = Version(1 << 31);
    let answer = StoreAnswer {
        instance: fact().addr,
        age: Millis(1 << 31),
    };
    let messages = [
        Message::Hello(fact()),
        Message::Heartbeat(Heartbeat {
            fact: fact(),
            load,
            version,
        }),
        Message::Ack(Ack {
            from: fact(),
            version,
            zones: zones.clone(),
            peers: vec![fact(); 4],
            interval: Millis(1 << 31),
            flows: 1 << 31,
            silenced: Some(fact()),
        }),
        Message::Exchange(Exchange {
            from: fact(),
            version,
            digest: Some(Digest::default()),
            zones: zones.clone(),
            facts: vec![fact(); MAX_FACTS],
            ask: true,
        }),
        Message::Store(StoreView {
            version,
            zones,
            answers: vec![answer; 2],
            ask: true,
        }),
    ];
    for message in messages {
        let payload = control::encode(&message).unwrap();
        let on_wire = encoded(&Header::Control, &payload).len() + 28;
        let estimate = message.size();
        assert!(
            on_wire <= estimate,
            "{on_wire} bytes, estimated as {estimate}: {message:?}"
        );
        assert!(on_wire <= 1_400, "{on_wire} bytes do not fit one datagram");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1_500)) {
        prop_assert!(Header::decode(&bytes, &keys()).is_err());
        let _ = control::decode(&bytes);
        if let Some(cid) = QuicHeaderParser::default().destination_id(&bytes) {
            prop_assert_eq!(CidCodec::open(&cid, &keys()), None);
        }
    }

    #[test]
    fn connection_ids_round_trip(
        ip in any::<u32>(), port in any::<u16>(), service in any::<u16>(),
        zone in any::<u16>(), boot in any::<u16>(), nonce in any::<u32>(),
    ) {
        let location = FlowLocation {
            agent: SocketAddrV4::new(Ipv4Addr::from_bits(ip), port),
            service: ServicePort(service),
            zone: ZoneTag(zone),
            boot,
        };
        let cid = CidCodec::seal(&location, nonce, keys().current());
        prop_assert_eq!(CidCodec::open(&cid, &keys()), Some(location));
    }
}
