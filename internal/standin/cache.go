package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the number of prompt bytes that count as one token.
	BytesPerToken = 4
	// BlockTokens is the size of a cache block in tokens.
	BlockTokens = 16

	blockBytes = BytesPerToken * BlockTokens
)

// Blocks splits a prompt into cache blocks and returns their hashes. The hash of a
// block covers the prompt up to the end of the block, so equal hashes mean equal
// prefixes. An incomplete last block is omitted.
func Blocks(prompt []byte) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	d := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = d.Write(prompt[:blockBytes])
		blocks = append(blocks, d.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// Cache is a prompt-prefix cache with LRU eviction. It is not safe for
// concurrent use.
type Cache struct {
	capacity int
	order    *list.List // front: most recently used
	entries  map[uint64]*list.Element
}

// NewCache returns a cache with a capacity in tokens, rounded down to full blocks.
func NewCache(tokens int) *Cache {
	return &Cache{
		capacity: tokens / BlockTokens,
		order:    list.New(),
		entries:  map[uint64]*list.Element{},
	}
}

// Len returns the number of cached blocks.
func (c *Cache) Len() int { return c.order.Len() }

// Match returns the number of leading blocks that are cached.
func (c *Cache) Match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.entries[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Insert adds the blocks, marks them as most recently used, and returns the blocks
// that it added and those that it evicted. It updates the blocks from the last to
// the first, so that a prefix is evicted after the blocks that extend it.
func (c *Cache) Insert(blocks []uint64) (added, evicted []uint64) {
	if len(blocks) > c.capacity {
		blocks = blocks[:c.capacity]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e, ok := c.entries[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[b] = c.order.PushFront(b)
		added = append(added, b)
	}
	for c.order.Len() > c.capacity {
		e := c.order.Back()
		b := c.order.Remove(e).(uint64)
		delete(c.entries, b)
		evicted = append(evicted, b)
	}
	return added, evicted
}

// Clear removes all blocks.
func (c *Cache) Clear() {
	c.order.Init()
	clear(c.entries)
}
