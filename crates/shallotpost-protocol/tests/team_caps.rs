//! Guards against a cap that stops a team because an amount is absent and read as zero.

use shallotpost_protocol::resource::Team;
use shallotpost_protocol::size::Size;

#[test]
fn absent_amounts_are_unlimited() {
    let no_limit = u64::MAX;
    let cases = [
        (r#"{"share":1}"#, Some([no_limit; 4])),
        (r#"{"share":1,"cap":{}}"#, Some([no_limit; 4])),
        (r#"{"share":1,"cap":{"slots":3}}"#, Some([no_limit, no_limit, no_limit, 3])),
        (r#"{"share":1,"cap":{"accelerators":0}}"#, Some([no_limit, no_limit, 0, no_limit])),
        (r#"{"share":1,"cap":{"slot":3}}"#, None),
    ];
    for (text, expected) in cases {
        let cap = serde_json::from_str::<Team>(text).ok().map(|team| team.cap);
        assert_eq!(cap, expected.map(Size::from_parts), "{text}");
    }
}

#[test]
fn binary_round_trip() {
    let team = Team { share: 2, cap: Size::from_parts([1, 2, 3, 4]) };
    let bytes = bincode::serde::encode_to_vec(&team, bincode::config::standard()).expect("encodes");
    let (decoded, _): (Team, usize) =
        bincode::serde::decode_from_slice(&bytes, bincode::config::standard()).expect("decodes");
    assert_eq!(decoded, team);
}
