package controlplane

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"time"

	"lockloom/assignment"
)

const (
	snapshotInterval = 2 * time.Second
	snapshotFormat   = 1
	maxSnapshotSize  = 64 << 20 // bytes
)

// snapshotFile is the content of a snapshot file: the state of each pool, from which a later run of the service starts.
type snapshotFile struct {
	Format int             `json:"format"`
	Sum    uint32          `json:"sum"` // CRC-32 (IEEE) of Pools as written
	Pools  json.RawMessage `json:"pools"`
}

// writeSnapshot writes a snapshot if the operator file names a file for it. It only logs errors: a full or failing disk
// does not stop the service.
func (s *Service) writeSnapshot() {
	s.mu.Lock()
	file := s.config.ControlPlane.SnapshotFile
	pools := map[string]assignment.Snapshot{}
	maps.Copy(pools, s.pools.restored) // pools not observed yet keep their restored state
	for name, pool := range s.pools.assigned {
		pools[name] = pool.Snapshot()
	}
	s.mu.Unlock()
	if file == "" {
		return
	}
	if err := writeSnapshotFile(file, pools); err != nil {
		s.log.WithError(err).Error("snapshot not written")
	}
}

// writeSnapshotFile writes a temporary file, syncs and renames it, so that a reader never finds an incomplete file.
func writeSnapshotFile(file string, pools map[string]assignment.Snapshot) error {
	encoded, err := json.Marshal(pools)
	if err != nil {
		return err
	}
	text, err := json.Marshal(snapshotFile{snapshotFormat, crc32.ChecksumIEEE(encoded), encoded})
	if err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	if err := writeAndSync(temporary, text); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	if err := os.Rename(temporary.Name(), file); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	return nil
}

// writeAndSync writes a file and closes it.
func writeAndSync(file *os.File, text []byte) error {
	_, err := file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// readSnapshot returns the pools of the snapshot file, or nil if there is none or it cannot be used.
func (s *Service) readSnapshot() map[string]assignment.Snapshot {
	file := s.config.ControlPlane.SnapshotFile
	if file == "" {
		return nil
	}
	pools, err := readSnapshotFile(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		s.log.WithError(err).Error("snapshot ignored")
	default:
		s.log.WithField("pools", len(pools)).Info("snapshot restored")
	}
	return pools
}

func readSnapshotFile(file string) (map[string]assignment.Snapshot, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSnapshotSize {
		return nil, fmt.Errorf("%s: snapshot of %d bytes exceeds the limit of %d bytes", file, info.Size(), maxSnapshotSize)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pools, err := decodeSnapshot(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return pools, nil
}

func decodeSnapshot(text []byte) (pools map[string]assignment.Snapshot, err error) {
	var content snapshotFile
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, err
	}
	if content.Format != snapshotFormat {
		return nil, fmt.Errorf("unsupported snapshot format %d, expected %d", content.Format, snapshotFormat)
	}
	if crc32.ChecksumIEEE(bytes.TrimSpace(content.Pools)) != content.Sum {
		return nil, errors.New("checksum mismatch: the file was changed or is incomplete")
	}
	if err := json.Unmarshal(content.Pools, &pools); err != nil {
		return nil, err
	}
	return pools, nil
}
