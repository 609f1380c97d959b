package capture

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// segmentFiles are the files of one proxy in a folder, a segment each.
type segmentFiles struct {
	dir      string // empty: nothing can be written
	proxy    string
	maxBytes int64    // of all files
	current  *os.File // of the segment that is being written; nil: none
}

func (f *segmentFiles) path(part int) string {
	return filepath.Join(f.dir, fmt.Sprintf("%s-%d-%06d%s", f.proxy, os.Getpid(), part, fileSuffix))
}

// begin opens the file of the next segment, and removes the oldest files if there are too many bytes.
func (f *segmentFiles) begin(part int) error {
	_ = f.close() // an incomplete file can be read to its last block, and the next segment does not need it
	if err := f.trim(); err != nil {
		return err
	}
	file, err := os.OpenFile(f.path(part), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	f.current = file
	return nil
}

func (f *segmentFiles) write(out []byte) error {
	if f.current == nil {
		return nil
	}
	_, err := f.current.Write(out)
	return err
}

// save writes a whole segment.
func (f *segmentFiles) save(part int, segment []byte) error {
	return os.WriteFile(f.path(part), segment, 0o644)
}

// trim removes this proxy's oldest files while all of them together are too large.
func (f *segmentFiles) trim() error {
	paths, err := Files(f.dir)
	if err != nil {
		return err
	}
	total := int64(0)
	for _, path := range slices.Backward(paths) {
		info, err := os.Stat(path)
		if err != nil || !strings.HasPrefix(filepath.Base(path), f.proxy+"-") {
			continue
		}
		total += info.Size()
		if total > f.maxBytes {
			_ = os.Remove(path) // what cannot be removed now is tried again with the next segment
		}
	}
	return nil
}

func (f *segmentFiles) close() error {
	if f.current == nil {
		return nil
	}
	closed := f.current
	f.current = nil
	return closed.Close()
}

// ring keeps the newest segments in memory, as many as there is room for and one at least.
type ring struct {
	maxBytes int64    // 0: there is none
	segments [][]byte // the oldest first; the last is being written
	size     int64    // bytes of all segments
}

func (r *ring) add(out []byte, startsSegment bool) {
	if startsSegment || len(r.segments) == 0 {
		r.segments = append(r.segments, nil)
	}
	last := &r.segments[len(r.segments)-1]
	*last = append(*last, out...)
	r.size += int64(len(out))
	for r.size > r.maxBytes && len(r.segments) > 1 {
		r.size -= int64(len(r.segments[0]))
		r.segments = slices.Delete(r.segments, 0, 1)
	}
}
