package routes

import (
	"slices"
	"sort"
)

// tree finds the longest prefix of a path that has routes. It is a radix tree whose nodes also link to the node of the
// next shorter prefix with routes.
type tree struct{ root node }

type node struct {
	text    string // the part of the prefix that this node adds to its parent's
	edges   []edge // to the children, sorted by their first byte
	routes  []*compiledRoute
	shorter *node // nearest ancestor with routes; nil: none
}

// edge leads to a child. It holds the first byte of the child's text, so that a search reads no nodes other than those
// on its path.
type edge struct {
	first byte
	node  *node
}

// add adds a route with a prefix.
func (t *tree) add(prefix string, route *compiledRoute) {
	n := &t.root
	for prefix != "" {
		n, prefix = n.descend(prefix)
	}
	first := n.routes == nil
	n.routes = append(n.routes, route)
	if first {
		n.linkDescendants(n)
	}
}

// descend returns the child on the path to a prefix, and the rest of the prefix below the child. It creates the child,
// or splits an existing one, if necessary.
func (n *node) descend(prefix string) (*node, string) {
	i := sort.Search(len(n.edges), func(i int) bool { return n.edges[i].first >= prefix[0] })
	if i == len(n.edges) || n.edges[i].first != prefix[0] {
		leaf := &node{text: prefix, shorter: n.nearest()}
		n.edges = slices.Insert(n.edges, i, edge{prefix[0], leaf})
		return leaf, ""
	}
	child := n.edges[i].node
	common := commonPrefix(child.text, prefix)
	if common < len(child.text) {
		child = child.split(common)
		n.edges[i].node = child
	}
	return child, prefix[common:]
}

// split inserts a parent of n that takes the first length bytes of its text, and returns the parent.
func (n *node) split(length int) *node {
	middle := &node{text: n.text[:length], edges: []edge{{n.text[length], n}}, shorter: n.shorter}
	n.text = n.text[length:]
	return middle
}

// commonPrefix returns the length of the common prefix of a and b.
func commonPrefix(a, b string) int {
	length := 0
	for length < len(a) && length < len(b) && a[length] == b[length] {
		length++
	}
	return length
}

// nearest returns n if it has routes, else its nearest ancestor that has; nil: none.
func (n *node) nearest() *node {
	if n.routes != nil {
		return n
	}
	return n.shorter
}

// linkDescendants sets nearest as the next shorter prefix of the descendants of n, down to the first nodes with routes.
func (n *node) linkDescendants(nearest *node) {
	for _, e := range n.edges {
		e.node.shorter = nearest
		if e.node.routes == nil {
			e.node.linkDescendants(nearest)
		}
	}
}

// longest returns the node of the longest prefix of the path that has routes; nil: none.
func (t *tree) longest(path string) *node {
	n := &t.root
	best := n
	for {
		if n.routes != nil {
			best = n
		}
		if path == "" {
			break
		}
		child := n.child(path[0])
		if child == nil || len(path) < len(child.text) || path[:len(child.text)] != child.text {
			break
		}
		n, path = child, path[len(child.text):]
	}
	if best.routes == nil {
		return nil
	}
	return best
}

// child returns the child whose text begins with the byte first; nil: none.
func (n *node) child(first byte) *node {
	low, high := 0, len(n.edges)
	for low < high {
		if middle := (low + high) / 2; n.edges[middle].first < first {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(n.edges) || n.edges[low].first != first {
		return nil
	}
	return n.edges[low].node
}
