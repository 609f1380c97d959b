package main

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

const journalFolder = "journal"

// journal lists the files that a checkout's journal held before the plays.
type journal struct {
	root  string
	known map[string]bool // by path relative to root
}

// readJournal lists the files in the journal of the checkout in dir.
func readJournal(dir string) (journal, error) {
	j := journal{root: dir, known: map[string]bool{}}
	paths, err := j.files()
	for _, path := range paths {
		j.known[path] = true
	}
	return j, err
}

// files returns the paths of the journal's present files, relative to the checkout's root.
func (j journal) files() ([]string, error) {
	var paths []string
	err := filepath.WalkDir(filepath.Join(j.root, journalFolder), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		relative, err := filepath.Rel(j.root, path)
		paths = append(paths, relative)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return paths, err
}

// copyAdded copies the files that were added to the journal since readJournal to the same paths below repo, and returns
// how many of them are new there. A file that repo has already is not overwritten: entries and blobs are named by their
// content.
func (j journal) copyAdded(repo string) (int, error) {
	paths, err := j.files()
	if err != nil {
		return 0, err
	}
	copied := 0
	for _, path := range paths {
		if j.known[path] {
			continue
		}
		isNew, err := copyNew(filepath.Join(j.root, path), filepath.Join(repo, path))
		if err != nil {
			return copied, err
		}
		if isNew {
			copied++
		}
	}
	return copied, nil
}

// copyNew copies a file unless the target exists, and reports whether it created the target.
func copyNew(from, to string) (bool, error) {
	text, err := os.ReadFile(from)
	if err != nil {
		return false, err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return false, err
	}
	file, err := os.OpenFile(to, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if errors.Is(err, fs.ErrExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	_, err = file.Write(text)
	return true, errors.Join(err, file.Close())
}
