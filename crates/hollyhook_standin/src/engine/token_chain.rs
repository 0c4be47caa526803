use std::hash::{DefaultHasher, Hash, Hasher};

use hollyhook_core::ModelBinding;

const SYLLABLES: [&str; 64] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "fa", "fe", "fi", "fo", "ga", "ge", "gi", "go", "ha", "he", "hi",
    "ho", "ja", "je", "ji", "jo", "ka", "ke", "ki", "ko", "la", "le", "li", "lo", "ma", "me", "mi", "mo", "na", "ne",
    "ni", "no", "pa", "pe", "pi", "po", "ra", "re", "ri", "ro", "sa", "se", "si", "so", "ta", "te", "ti", "to", "va",
    "ve", "vi", "vo", "wa", "we", "wi", "wo",
];

/// Generator of pseudorandom tokens, each a function of the prompt, the weights, its position and the previous token.
///
/// The first token depends on the engine's salt instead of a previous token. So a complete answer can be verified
/// token by token, and tokens of two generations of a request, which mostly begin differently, can't be mixed without
/// a mismatch.
#[derive(Debug, Clone)]
pub struct TokenChain {
    seed: u64,
}

impl TokenChain {
    /// The chain for a prompt and the weights that `binding` names.
    pub fn new(prompt: &str, binding: &ModelBinding) -> Self {
        let mut hasher = DefaultHasher::new();
        prompt.hash(&mut hasher);
        binding.hash(&mut hasher);
        Self { seed: hasher.finish() }
    }

    /// The token at position 0, for an engine's salt.
    pub fn first(&self, salt: u64) -> String {
        self.derive_token(0, &salt.to_string())
    }

    /// The token at `position`, at least 1, that follows `previous`.
    pub fn next(&self, position: u64, previous: &str) -> String {
        self.derive_token(position, previous)
    }

    /// Returns the position of the first token that does not follow from the previous token, or `None` if all do.
    ///
    /// The first token is not checked, as it depends on the engine's salt.
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

    fn derive_token(&self, position: u64, previous: &str) -> String {
        let mut hasher = DefaultHasher::new();
        (self.seed, position, previous).hash(&mut hasher);
        let bits = hasher.finish();
        let syllable = |shift: u32| SYLLABLES[(bits >> shift) as usize % SYLLABLES.len()];
        format!("{}{}{} ", syllable(0), syllable(6), syllable(12))
    }
}
