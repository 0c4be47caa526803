use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens per block; only whole blocks are cached.
const BLOCK_TOKENS: usize = 16;

/// Hashes of prompt prefixes whose length is a whole number of blocks.
///
/// Beyond the capacity the hashes inserted first are evicted; a hit does not defer eviction.
#[derive(Debug)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    blocks: HashSet<u64>,
    insertion_order: VecDeque<u64>,
}

impl PrefixCache {
    /// Creates a cache with a capacity of `tokens` tokens, rounded down to whole blocks.
    pub(super) fn new(tokens: usize) -> Self {
        Self { max_blocks: tokens / BLOCK_TOKENS, blocks: HashSet::new(), insertion_order: VecDeque::new() }
    }

    /// Returns the number of leading tokens that were cached, and caches the whole blocks of the prompt.
    pub(super) fn insert_prompt<'t>(&mut self, tokens: impl Iterator<Item = &'t str>) -> usize {
        let mut hasher = DefaultHasher::new();
        let mut hit = 0;
        let mut is_prefix = true;
        let mut count = 0;
        for token in tokens {
            token.hash(&mut hasher);
            count += 1;
            if count % BLOCK_TOKENS > 0 {
                continue;
            }
            let block = hasher.finish();
            is_prefix &= self.blocks.contains(&block);
            if is_prefix {
                hit = count;
            } else {
                self.insert_block(block);
            }
        }
        hit
    }

    fn insert_block(&mut self, block: u64) {
        if self.blocks.insert(block) {
            self.insertion_order.push_back(block);
        }
        while self.insertion_order.len() > self.max_blocks {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }
}
