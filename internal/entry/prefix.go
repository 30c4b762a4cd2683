package entry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of a block. Prompt prefixes are compared in whole blocks.
const PrefixBlockBytes = 256

// MaxPrefixes bounds the number of prefixes that are hashed of one prompt.
const MaxPrefixes = 64

// PrefixHashes returns the hashes of the prompt's prefixes of one block, two blocks and so on,
// shortest first. Each is the xxHash64 of the previous hash and the prefix's last block, so it
// depends on all blocks up to there: equal hashes mean equal prefixes.
func PrefixHashes(prompt []byte) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, MaxPrefixes)
	out := make([]uint64, 0, n)
	buf := make([]byte, 8+PrefixBlockBytes)
	var last uint64
	for i := range n {
		binary.LittleEndian.PutUint64(buf, last)
		copy(buf[8:], prompt[i*PrefixBlockBytes:(i+1)*PrefixBlockBytes])
		last = xxhash.Sum64(buf)
		out = append(out, last)
	}
	return out
}
