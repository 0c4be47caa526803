use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens in one block of the cache.
const BLOCK: usize = 16;

/// Remembers the prefixes of prompts by blocks, the oldest forgotten first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    pub(super) fn new(tokens: usize) -> Self {
        Self { limit: tokens / BLOCK, blocks: HashSet::new(), order: VecDeque::new() }
    }

    /// The number of leading tokens that are cached; all of them are, afterwards.
    pub(super) fn read<'t>(&mut self, tokens: impl Iterator<Item = &'t str>) -> usize {
        let mut hasher = DefaultHasher::new();
        let mut hit = 0;
        let mut is_prefix = true;
        let mut count = 0;
        for token in tokens {
            token.hash(&mut hasher);
            count += 1;
            if count % BLOCK > 0 {
                continue;
            }
            let block = hasher.finish();
            is_prefix &= self.blocks.contains(&block);
            if is_prefix {
                hit = count;
            } else {
                self.insert(block);
            }
        }
        hit
    }

    fn insert(&mut self, block: u64) {
        if self.blocks.insert(block) {
            self.order.push_back(block);
        }
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }
}
