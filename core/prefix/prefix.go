// Package prefix identifies the prefixes of prompts that engines cache, and
// indexes which servers hold them. A prefix is a sequence of blocks of tokens;
// the hash of a block identifies the prompt up to the end of that block.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the assumed size of a token in a prompt.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a cached block.
	BlockTokens = 16

	blockBytes = BlockTokens * BytesPerToken
)

// EstimateTokens estimates the number of tokens in a prompt by its length.
func EstimateTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// Hashes returns one hash for each complete block of the prompt. Each hash covers
// the prompt from its start, so that equal hashes mean equal prefixes.
func Hashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var buffer [8 + blockBytes]byte
	previous := uint64(0)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		binary.LittleEndian.PutUint64(buffer[:8], previous)
		copy(buffer[8:], prompt[start:start+blockBytes])
		previous = xxhash.Sum64(buffer[:])
		hashes = append(hashes, previous)
	}
	return hashes
}
