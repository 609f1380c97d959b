package capture

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Files returns the paths of the capture files in a folder, the oldest first. If path is a file, it is the only path
// returned.
func Files(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	type capturedFile struct {
		path       string
		modifiedAt time.Time
	}
	var found []capturedFile
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), fileSuffix) {
			continue
		}
		if info, err := entry.Info(); err == nil { // an error means that the file was removed meanwhile
			found = append(found, capturedFile{filepath.Join(path, entry.Name()), info.ModTime()})
		}
	}
	slices.SortFunc(found, func(a, b capturedFile) int {
		return cmp.Or(a.modifiedAt.Compare(b.modifiedAt), strings.Compare(a.path, b.path))
	})
	paths := make([]string, len(found))
	for i := range found {
		paths[i] = found[i].path
	}
	return paths, nil
}
