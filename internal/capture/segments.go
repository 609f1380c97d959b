package capture

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// segmentFiles writes the files of one proxy to a folder, one file for each segment.
type segmentFiles struct {
	dir      string   // empty: no files can be written
	proxy    string   // name of the proxy
	maxBytes int64    // limit of the total size of the proxy's files
	current  *os.File // file of the segment that is being written; nil: none
}

func (f *segmentFiles) path(part int) string {
	return filepath.Join(f.dir, fmt.Sprintf("%s-%d-%06d%s", f.proxy, os.Getpid(), part, fileSuffix))
}

// create removes the oldest files if the total size is over its limit, and creates the file of the next segment.
func (f *segmentFiles) create(part int) error {
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

func (f *segmentFiles) write(blocks []byte) error {
	if f.current == nil {
		return nil
	}
	_, err := f.current.Write(blocks)
	return err
}

// save writes a complete segment to its file.
func (f *segmentFiles) save(part int, segment []byte) error {
	return os.WriteFile(f.path(part), segment, 0o644)
}

// trim removes the oldest files of the proxy until the total size is within its limit.
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
			_ = os.Remove(path) // a failed removal is tried again with the next segment
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

// ring keeps the newest segments in memory: as many as fit into maxBytes, and at least one.
type ring struct {
	maxBytes int64    // 0: there is no ring
	segments [][]byte // the oldest first; the last is being written
	size     int64    // total size of the segments in bytes
}

func (r *ring) add(blocks []byte, startsSegment bool) {
	if startsSegment || len(r.segments) == 0 {
		r.segments = append(r.segments, nil)
	}
	last := &r.segments[len(r.segments)-1]
	*last = append(*last, blocks...)
	r.size += int64(len(blocks))
	for r.size > r.maxBytes && len(r.segments) > 1 {
		r.size -= int64(len(r.segments[0]))
		r.segments = slices.Delete(r.segments, 0, 1)
	}
}
