package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header of 32 bytes, a payload, and a pad that ends in a byte
// other than zero and fills up to a multiple of 32. So a header never straddles
// two sectors. The header counts the sectors in which the frame has nothing but
// zeros; a sector that an unfinished write left out adds to them.
const (
	headerSize = 32
	alignment  = 32
	sectorSize = 512
	padByte    = 0xa5
	magic      = 0x53504a31
	maxPayload = 1 << 31

	atLength   = 4
	atOffset   = 8
	atPrevious = 16
	// atKind holds the kind in the low byte and the count of blank sectors in the
	// three others.
	atKind          = 20
	zeroSectorShift = 8
	atBodySum       = 24
	atHeaderSum     = 28
)

// frameKind tells what the payload of a frame is.
type frameKind uint8

const (
	kindSegment frameKind = iota + 1
	kindBatch
	kindSnapshot
	kindManifest
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one frame as read.
type frame struct {
	kind    frameKind
	payload []byte
	// sum is the checksum of the header, which the next frame repeats.
	sum uint32
	end int
}

// frameState is the outcome of reading at an offset.
type frameState uint8

const (
	frameOK frameState = iota
	// frameEnd: there is nothing at the offset, not even a part.
	frameEnd
	// frameTorn: the write of the last frame did not finish.
	frameTorn
	// frameCorrupt: bytes are damaged that no unfinished write explains.
	frameCorrupt
)

// appendFrame appends a frame that stands at offset of its file, after the frame
// with the checksum previous. It returns the grown buffer and its own checksum.
func appendFrame(buf []byte, kind frameKind, offset int64, previous uint32, payload []byte) ([]byte, uint32) {
	start := len(buf)
	buf = append(buf, make([]byte, headerSize)...)
	buf = append(buf, payload...)
	buf = append(buf, padByte)
	for (len(buf)-start)%alignment != 0 {
		buf = append(buf, padByte)
	}
	header := buf[start : start+headerSize]
	binary.LittleEndian.PutUint32(header, magic)
	binary.LittleEndian.PutUint32(header[atLength:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[atOffset:], uint64(offset))
	binary.LittleEndian.PutUint32(header[atPrevious:], previous)
	blank := uint32(countZeroSectors(buf[start:], offset))
	binary.LittleEndian.PutUint32(header[atKind:], blank<<zeroSectorShift|uint32(kind))
	binary.LittleEndian.PutUint32(header[atBodySum:], crc32.Checksum(buf[start+headerSize:], castagnoli))
	sum := crc32.Checksum(header[:atHeaderSum], castagnoli)
	binary.LittleEndian.PutUint32(header[atHeaderSum:], sum)
	return buf, sum
}

// readFrame reads the frame at off of a file's contents. The reason tells what
// is wrong where the state is torn or corrupt.
func readFrame(data []byte, off int, previous uint32) (frame, frameState, string) {
	rest := data[off:]
	if len(rest) == 0 {
		return frame{}, frameEnd, ""
	}
	if len(rest) < headerSize {
		return frame{}, frameTorn, "short header"
	}
	if allZero(rest[:headerSize]) {
		return classifyZeroHeader(data, off)
	}
	if !validHeader(rest, off) {
		return frame{}, frameCorrupt, "bad header"
	}
	if binary.LittleEndian.Uint32(rest[atPrevious:]) != previous {
		return frame{}, frameCorrupt, "record does not follow the one before it"
	}
	length := int64(binary.LittleEndian.Uint32(rest[atLength:]))
	size := frameSize(length)
	if size > int64(len(rest)) {
		return frame{}, frameTorn, "short record"
	}
	body := rest[headerSize:size]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(rest[atBodySum:]) {
		state, reason := classifyBadBody(rest, off, int(size))
		return frame{}, state, reason
	}
	return frame{
		kind:    frameKind(rest[atKind]),
		payload: body[:length],
		sum:     binary.LittleEndian.Uint32(rest[atHeaderSum:]),
		end:     off + int(size),
	}, frameOK, ""
}

// frameSize returns the bytes that a frame with a payload of n bytes takes.
func frameSize(n int64) int64 {
	size := headerSize + n + 1
	return (size + alignment - 1) / alignment * alignment
}

func validHeader(b []byte, off int) bool {
	return binary.LittleEndian.Uint32(b) == magic &&
		binary.LittleEndian.Uint32(b[atHeaderSum:]) == crc32.Checksum(b[:atHeaderSum], castagnoli) &&
		binary.LittleEndian.Uint64(b[atOffset:]) == uint64(off) &&
		binary.LittleEndian.Uint32(b[atLength:]) < maxPayload
}

// classifyZeroHeader judges a header of zeros: its sector was not written, unless a
// whole record follows, which is only written after this one was synced.
func classifyZeroHeader(data []byte, off int) (frame, frameState, string) {
	for at := off + alignment; at+headerSize <= len(data); at += alignment {
		if validHeader(data[at:], at) {
			return frame{}, frameCorrupt, "a record follows bytes of zero"
		}
	}
	return frame{}, frameTorn, "missing header"
}

// classifyBadBody judges a record of full length with a bad checksum: an unfinished
// write leaves sectors of zeros and nothing after it.
func classifyBadBody(rest []byte, off, size int) (frameState, string) {
	if !allZero(rest[size:]) {
		return frameCorrupt, "bad checksum before the last record"
	}
	written := binary.LittleEndian.Uint32(rest[atKind:]) >> zeroSectorShift
	if countZeroSectors(rest[:size], int64(off)) > int(written) {
		return frameTorn, "missing sector"
	}
	return frameCorrupt, "bad checksum of a completely written record"
}

// countZeroSectors counts the sectors in which a frame that stands at offset has
// nothing but zeros.
func countZeroSectors(b []byte, offset int64) int {
	n := 0
	for len(b) > 0 {
		end := min(sectorSize-int(offset%sectorSize), len(b))
		if allZero(b[:end]) {
			n++
		}
		b = b[end:]
		offset += int64(end)
	}
	return n
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
