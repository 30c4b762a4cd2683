package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a record as it is stored in a file: a 32-byte header, the payload, and
// non-zero padding up to a multiple of 32 bytes. The alignment ensures that a header
// never spans two sectors. At least one byte of padding is always present, so that the
// last sector of a frame is never all zeros. The header stores the number of sectors in
// which the frame is all zeros. A higher number on disk means that an unfinished write
// left out a sector.
const (
	headerSize = 32
	alignment  = 32
	sectorSize = 512
	padByte    = 0xa5
	magic      = 0x53504a31
	maxPayload = 1 << 31

	// Positions of the header fields in bytes. The magic number is at 0.
	atLength   = 4
	atOffset   = 8
	atPrevious = 16
	// The field at atKind holds the kind in the low byte and the number of all-zero
	// sectors in the other three.
	atKind          = 20
	zeroSectorShift = 8
	atBodySum       = 24
	atHeaderSum     = 28
)

// frameKind is the type of a frame's payload.
type frameKind uint8

const (
	kindSegment frameKind = iota + 1
	kindBatch
	kindSnapshot
	kindManifest
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a decoded frame.
type frame struct {
	kind    frameKind
	payload []byte
	// sum is the checksum of the header. The next frame's header repeats it.
	sum uint32
	// end is the offset of the first byte after the frame.
	end int
}

// frameState is the result of reading a frame at an offset.
type frameState uint8

const (
	frameOK frameState = iota
	// frameEnd: the file ends at the offset.
	frameEnd
	// frameTorn: the write of the last frame did not complete.
	frameTorn
	// frameCorrupt: the bytes are damaged in a way that an unfinished write does not
	// explain.
	frameCorrupt
)

// appendFrame appends to buf a frame for the given offset of a file. The parameter
// previous is the header checksum of the frame before it. It returns the extended buffer
// and the header checksum of the new frame.
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
	zeroSectors := uint32(countZeroSectors(buf[start:], offset))
	binary.LittleEndian.PutUint32(header[atKind:], zeroSectors<<zeroSectorShift|uint32(kind))
	binary.LittleEndian.PutUint32(header[atBodySum:], crc32.Checksum(buf[start+headerSize:], castagnoli))
	sum := crc32.Checksum(header[:atHeaderSum], castagnoli)
	binary.LittleEndian.PutUint32(header[atHeaderSum:], sum)
	return buf, sum
}

// readFrame decodes the frame at offset off of a file's contents. The parameter previous
// is the header checksum of the frame before it. If the state is torn or corrupt, the
// returned string is the reason.
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

// frameSize returns the size in bytes of a frame with a payload of n bytes.
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

// classifyZeroHeader decides whether an all-zero header is torn or corrupt. It is torn,
// that is, its sector was not written, unless a valid header follows: the next record is
// only written after this one has been synced.
func classifyZeroHeader(data []byte, off int) (frame, frameState, string) {
	for at := off + alignment; at+headerSize <= len(data); at += alignment {
		if validHeader(data[at:], at) {
			return frame{}, frameCorrupt, "a record follows a zeroed header"
		}
	}
	return frame{}, frameTorn, "missing header"
}

// classifyBadBody decides whether a record of full length with a bad checksum is torn or
// corrupt. It is torn if only zeros follow it and it has more all-zero sectors than were
// written: that is what an unfinished write leaves behind.
func classifyBadBody(rest []byte, off, size int) (frameState, string) {
	if !allZero(rest[size:]) {
		return frameCorrupt, "bad checksum before the last record"
	}
	zeroSectorsWritten := binary.LittleEndian.Uint32(rest[atKind:]) >> zeroSectorShift
	if countZeroSectors(rest[:size], int64(off)) > int(zeroSectorsWritten) {
		return frameTorn, "missing sector"
	}
	return frameCorrupt, "bad checksum of a completely written record"
}

// countZeroSectors returns the number of sectors in which the bytes b, located at the
// given offset of a file, are all zeros.
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
