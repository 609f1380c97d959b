package nginx

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Limits on the files that a Reader reads. maxDirectives limits the directives in them.
const (
	maxBytes        = 64 << 20 // in all files together
	maxIncludeDepth = 16       // files in a chain of includes, counting the first one
)

// Reader reads configuration files and the files that they include. It must not be used by several goroutines at once.
// Its limits on bytes and directives apply to all files that it reads together.
type Reader struct {
	Root string                                 // includes are relative to this folder, and none outside of it is read
	Open func(name string) ([]byte, error)      // reads a file, like os.ReadFile
	Glob func(pattern string) ([]string, error) // like filepath.Glob

	bytes      int      // read so far
	directives int      // parsed so far
	including  []string // the file that is being read, after those that include it
}

// NewReader returns a Reader of files on the disk whose includes are relative to the folder root.
func NewReader(root string) *Reader {
	return &Reader{Root: root, Open: os.ReadFile, Glob: filepath.Glob}
}

// File parses a file, with the directives of included files in place of its include directives.
func (r *Reader) File(name string) ([]*Node, error) {
	if slices.Contains(r.including, name) {
		return nil, fmt.Errorf("%s: include cycle through %s", name, strings.Join(r.including, ", "))
	}
	if len(r.including) >= maxIncludeDepth {
		return nil, fmt.Errorf("%s: the chain of includes is longer than %d files", name, maxIncludeDepth)
	}
	text, err := r.Open(name)
	if err != nil {
		return nil, err
	}
	if r.bytes += len(text); r.bytes > maxBytes {
		return nil, fmt.Errorf("%s: the configuration files exceed %d bytes in total", name, maxBytes)
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
		if n.Name != "include" || n.HasBlock {
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

// includedFiles returns the names of the files that an include directive names. As in nginx, a pattern that matches no
// file is not an error.
func (r *Reader) includedFiles(n *Node) ([]string, error) {
	if len(n.Args) != 1 {
		return nil, n.errorf("expected one file name or pattern")
	}
	pattern := n.Args[0]
	if !filepath.IsAbs(pattern) {
		pattern = filepath.Join(r.Root, pattern)
	}
	if !r.contains(pattern) {
		return nil, n.errorf("%s lies outside of %s, the folder that included files must be in", n.Args[0], r.Root)
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

// contains reports whether a path is the folder r.Root or below it.
func (r *Reader) contains(path string) bool {
	relative, err := filepath.Rel(r.Root, path)
	if err != nil {
		return false
	}
	return relative != ".." && !strings.HasPrefix(relative, ".."+string(filepath.Separator))
}
