package entry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of the prompt blocks that prefixes are made of, in bytes.
const PrefixBlockBytes = 256

// MaxPrefixes bounds the prefixes of one prompt.
const MaxPrefixes = 64

// PrefixHashes returns the hashes of the prompt's prefixes that are whole blocks,
// shortest first. Each is the xxHash64 of the hash before it and its last block, so
// that equal hashes mean equal prefixes.
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
