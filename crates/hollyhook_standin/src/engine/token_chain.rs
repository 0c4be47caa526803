use std::hash::{DefaultHasher, Hash, Hasher};

use hollyhook_core::ModelBinding;

const SYLLABLES: [&str; 64] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "fa", "fe", "fi", "fo", "ga", "ge", "gi", "go", "ha", "he", "hi",
    "ho", "ja", "je", "ji", "jo", "ka", "ke", "ki", "ko", "la", "le", "li", "lo", "ma", "me", "mi", "mo", "na", "ne",
    "ni", "no", "pa", "pe", "pi", "po", "ra", "re", "ri", "ro", "sa", "se", "si", "so", "ta", "te", "ti", "to", "va",
    "ve", "vi", "vo", "wa", "we", "wi", "wo",
];

/// The tokens of one generation, each a function of the prompt, the weights, its position and the token before.
///
/// Only the first depends on the salt that an engine draws. So a whole answer is known by its links, and two
/// generations of one request, which mostly begin differently, can't be mixed without a broken link.
#[derive(Debug, Clone)]
pub struct TokenChain {
    seed: u64,
}

impl TokenChain {
    /// The chain for a prompt and weights.
    pub fn new(prompt: &str, binding: &ModelBinding) -> Self {
        let mut hasher = DefaultHasher::new();
        prompt.hash(&mut hasher);
        binding.hash(&mut hasher);
        Self { seed: hasher.finish() }
    }

    /// The first token, for the salt drawn.
    pub fn first(&self, salt: u64) -> String {
        self.word(0, &salt.to_string())
    }

    /// The token at `position`, from 1, behind `previous`.
    pub fn next(&self, position: u64, previous: &str) -> String {
        self.word(position, previous)
    }

    /// The position of the first token that does not follow from the one before; none if the answer is whole.
    pub fn first_mismatch<'t>(&self, tokens: impl IntoIterator<Item = &'t str>) -> Option<u64> {
        let mut previous: Option<&str> = None;
        for (position, token) in tokens.into_iter().enumerate() {
            let position = position as u64;
            if previous.is_some_and(|previous| self.next(position, previous) != token) {
                return Some(position);
            }
            previous = Some(token);
        }
        None
    }

    fn word(&self, position: u64, previous: &str) -> String {
        let mut hasher = DefaultHasher::new();
        (self.seed, position, previous).hash(&mut hasher);
        let bits = hasher.finish();
        let syllable = |shift: u32| SYLLABLES[(bits >> shift) as usize % SYLLABLES.len()];
        format!("{}{}{} ", syllable(0), syllable(6), syllable(12))
    }
}
