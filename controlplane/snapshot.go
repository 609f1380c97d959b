package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"lockloom/assignment"
)

const (
	keepEvery  = 2 * time.Second
	keptFormat = 1
	keptMost   = 64 << 20 // bytes of a snapshot that is read
)

// kept is a snapshot: what was told of each pool, for a service that starts after this one.
type kept struct {
	Format int             `json:"format"`
	Sum    uint32          `json:"sum"` // CRC-32 (IEEE) of Pools as written
	Pools  json.RawMessage `json:"pools"`
}

// keep writes a snapshot: aside, synced and renamed, so that a torn one is never found under the name. A disk that is full or fails
// stops snapshots, not the service.
func (s *Service) keep() {
	s.mu.Lock()
	file := s.config.ControlPlane.SnapshotFile
	all := map[string]assignment.Snapshot{}
	for name, m := range s.known { // not seen yet: it stays what it was
		all[name] = m
	}
	for name, p := range s.pools {
		all[name] = p.Snapshot()
	}
	s.mu.Unlock()
	if file == "" {
		return
	}
	if err := writeSnapshotFile(file, all); err != nil {
		s.log.WithError(err).Error("no snapshot of assignments could be kept")
	}
}

func writeSnapshotFile(file string, all map[string]assignment.Snapshot) error {
	pools, err := json.Marshal(all)
	if err != nil {
		return err
	}
	text, err := json.Marshal(kept{keptFormat, crc32.ChecksumIEEE(pools), pools})
	if err != nil {
		return err
	}
	aside, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(aside.Name()) // nothing, once renamed
	_, err = aside.Write(text)
	if err == nil {
		err = aside.Sync()
	}
	if shut := aside.Close(); err == nil {
		err = shut
	}
	if err == nil {
		err = os.Rename(aside.Name(), file)
	}
	return err
}

// recall reads the snapshot, if there is one that can be believed.
func (s *Service) recall() map[string]assignment.Snapshot {
	file := s.config.ControlPlane.SnapshotFile
	if file == "" {
		return nil
	}
	all, err := readSnapshotFile(file)
	switch {
	case os.IsNotExist(err):
	case err != nil:
		s.log.WithError(err).Error("the snapshot of assignments is passed over")
	default:
		s.log.WithField("pools", len(all)).Info("assignments are as another run left them")
	}
	return all
}

func readSnapshotFile(file string) (map[string]assignment.Snapshot, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > keptMost {
		return nil, fmt.Errorf("%s: %d bytes: %d at most", file, info.Size(), keptMost)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var k kept
	if err := json.Unmarshal(text, &k); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if k.Format != keptFormat {
		return nil, fmt.Errorf("%s: format %d, not %d", file, k.Format, keptFormat)
	}
	if crc32.ChecksumIEEE(bytes.TrimSpace(k.Pools)) != k.Sum {
		return nil, fmt.Errorf("%s: its sum does not fit: it was changed or torn", file)
	}
	var all map[string]assignment.Snapshot
	if err := json.Unmarshal(k.Pools, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return all, nil
}
