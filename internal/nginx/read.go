package nginx

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Bounds of what is read.
const (
	maxBytes        = 64 << 20 // of all files
	maxIncludeDepth = 16       // files within files
)

// Reader reads files with what they include. It is for one goroutine; its bounds hold for all files that it reads.
type Reader struct {
	Root string // includes lead nowhere outside of it
	Open func(name string) ([]byte, error)
	Glob func(pattern string) ([]string, error)

	bytes      int // read so far
	directives int // read so far
	including  []string
}

// NewReader reads files of the disk below a folder; what is not absolute is relative to it.
func NewReader(root string) *Reader {
	return &Reader{Root: root, Open: os.ReadFile, Glob: filepath.Glob}
}

// File reads one file with all that it includes.
func (r *Reader) File(name string) ([]*Node, error) {
	if slices.Contains(r.including, name) {
		return nil, fmt.Errorf("%s: it includes itself, by way of %s", name, strings.Join(r.including, ", "))
	}
	if len(r.including) >= maxIncludeDepth {
		return nil, fmt.Errorf("%s: files are included %d deep: no deeper", name, maxIncludeDepth)
	}
	text, err := r.Open(name)
	if err != nil {
		return nil, err
	}
	if r.bytes += len(text); r.bytes > maxBytes {
		return nil, fmt.Errorf("%s: more than %d bytes in all", name, maxBytes)
	}
	r.including = append(r.including, name)
	defer func() { r.including = r.including[:len(r.including)-1] }()
	list, err := newParser(name, text, &r.directives).block(0)
	if err != nil {
		return nil, err
	}
	return r.expand(list)
}

// expand replaces include directives, in all blocks, by the directives of the files that they name.
func (r *Reader) expand(list []*Node) ([]*Node, error) {
	var expanded []*Node
	for _, n := range list {
		if n.Name != "include" || n.Opens {
			var err error
			if n.Block, err = r.expand(n.Block); err != nil {
				return nil, err
			}
			expanded = append(expanded, n)
			continue
		}
		included, err := r.include(n)
		if err != nil {
			return nil, err
		}
		expanded = append(expanded, included...)
	}
	return expanded, nil
}

// include reads the files that an include directive names.
func (r *Reader) include(n *Node) ([]*Node, error) {
	names, err := r.includedFiles(n)
	if err != nil {
		return nil, err
	}
	var included []*Node
	for _, name := range names {
		list, err := r.File(name)
		if errors.Is(err, os.ErrNotExist) {
			return nil, n.errorf("%v", err)
		}
		if err != nil {
			return nil, err
		}
		included = append(included, list...)
	}
	return included, nil
}

// includedFiles are the names of the files that an include directive names. As in nginx, a pattern that nothing fits
// includes nothing.
func (r *Reader) includedFiles(n *Node) ([]string, error) {
	if len(n.Args) != 1 {
		return nil, n.errorf("it takes one file or pattern")
	}
	pattern := n.Args[0]
	if !filepath.IsAbs(pattern) {
		pattern = filepath.Join(r.Root, pattern)
	}
	if !r.contains(pattern) {
		return nil, n.errorf("%s lies outside of %s", n.Args[0], r.Root)
	}
	if !strings.ContainsAny(pattern, "*?[") {
		return []string{pattern}, nil
	}
	names, err := r.Glob(pattern)
	if err != nil {
		return nil, n.errorf("%s: %v", pattern, err)
	}
	slices.Sort(names)
	return names, nil
}

// contains reports whether a path lies below the root.
func (r *Reader) contains(path string) bool {
	relative, err := filepath.Rel(r.Root, path)
	if err != nil {
		return false
	}
	return relative != ".." && !strings.HasPrefix(relative, ".."+string(filepath.Separator))
}
