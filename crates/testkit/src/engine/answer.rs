//! Deterministic answers, so that tests can compute the expected text.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Token `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: usize) -> String {
    let seed = hash(FNV_OFFSET, prompt.as_bytes());
    let mixed = hash(seed, &index.to_le_bytes());
    format!("{:04x} ", mixed >> 48)
}

/// The answer to `prompt` with `count` tokens.
pub fn text(prompt: &str, count: usize) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// FNV-1a over `bytes`, continued from `state`.
pub(super) fn hash(state: u64, bytes: &[u8]) -> u64 {
    let step = |state: u64, byte: &u8| (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(state, step)
}
