package main

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

const journalFolder = "journal"

// journal is the state of a checkout's journal before the plays.
type journal struct {
	root  string
	known map[string]bool // paths from the root
}

// readJournal notes which files the journal of the checkout in dir holds.
func readJournal(dir string) (journal, error) {
	j := journal{root: dir, known: map[string]bool{}}
	paths, err := j.files()
	for _, path := range paths {
		j.known[path] = true
	}
	return j, err
}

// files are the paths of all the journal's files from the checkout's root.
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

// keep copies what has come into the journal since readJournal to the same paths below repo, and counts the files that
// are new there. An entry or blob that repo has already is left as it is: their names are those of their content.
func (j journal) keep(repo string) (int, error) {
	paths, err := j.files()
	if err != nil {
		return 0, err
	}
	kept := 0
	for _, path := range paths {
		if j.known[path] {
			continue
		}
		isNew, err := copyNew(filepath.Join(j.root, path), filepath.Join(repo, path))
		if err != nil {
			return kept, err
		}
		if isNew {
			kept++
		}
	}
	return kept, nil
}

// copyNew copies a file and reports whether the target was not there before; one that is there stays.
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
