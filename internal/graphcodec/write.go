package graphcodec

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"slices"
	"unsafe"
)

// encoder collects the memory blocks that a value refers to, then encodes them in the order of their addresses.
type encoder struct {
	*typeTable
	blocks []block
	seen   map[block]bool
	out    []byte
}

// Encode encodes a value. It returns an error if the value refers to a type that cannot be encoded.
func Encode[T any](value *T) ([]byte, error) {
	root := reflect.TypeFor[T]()
	table, err := newTypeTable(root)
	if err != nil {
		return nil, err
	}
	start := unsafe.Pointer(value)
	e := &encoder{typeTable: table, seen: map[block]bool{}}
	e.collect(block{uintptr(start), root, 1, start})
	if err := e.dropNested(); err != nil {
		return nil, err
	}
	e.uint(uint64(len(e.blocks)))
	for i := range e.blocks {
		e.uint(uint64(e.index[e.blocks[i].elemType]))
		e.uint(uint64(e.blocks[i].count))
	}
	e.reference(uintptr(start))
	for i := range e.blocks {
		b := &e.blocks[i]
		for k := range b.count {
			e.value(b.elemType, b.element(k))
		}
	}
	return e.out, nil
}

// collect adds a block and, recursively, the blocks that it refers to.
func (e *encoder) collect(b block) {
	if b.size() == 0 || e.seen[b] {
		return
	}
	e.seen[b] = true
	e.blocks = append(e.blocks, b)
	if !hasReferences(b.elemType) {
		return
	}
	for i := range b.count {
		e.collectReferences(b.elemType, b.element(i))
	}
}

// collectReferences adds the blocks that the value of type t at an address refers to.
func (e *encoder) collectReferences(t reflect.Type, at unsafe.Pointer) {
	switch t.Kind() {
	case reflect.Pointer:
		if target := *(*unsafe.Pointer)(at); target != nil {
			e.collect(block{uintptr(target), t.Elem(), 1, target})
		}
	case reflect.Slice:
		slice := reflect.NewAt(t, at).Elem()
		e.collect(block{slice.Pointer(), t.Elem(), slice.Len(), slice.UnsafePointer()})
	case reflect.Map:
		for _, entry := range sortedEntries(t, at) {
			e.collect(block{uintptr(entry.target), t.Elem().Elem(), 1, entry.target})
		}
	case reflect.Array:
		for i := range t.Len() {
			e.collectReferences(t.Elem(), unsafe.Add(at, uintptr(i)*t.Elem().Size()))
		}
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			e.collectReferences(field.Type, unsafe.Add(at, field.Offset))
		}
	}
}

// hasReferences reports whether values of a type can refer to others.
func hasReferences(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return true
	case reflect.Array:
		return hasReferences(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			if hasReferences(t.Field(i).Type) {
				return true
			}
		}
	}
	return false
}

// dropNested sorts the blocks by address and drops those that lie within another, which is encoded as a whole.
func (e *encoder) dropNested() error {
	slices.SortFunc(e.blocks, func(a, b block) int {
		return cmp.Or(cmp.Compare(a.address, b.address), cmp.Compare(b.end(), a.end()))
	})
	var outer []block
	for _, next := range e.blocks {
		if len(outer) == 0 || next.address >= outer[len(outer)-1].end() {
			outer = append(outer, next)
			continue
		}
		if last := &outer[len(outer)-1]; next.end() > last.end() {
			return fmt.Errorf("block of %s partly overlaps a block of %s", next.elemType, last.elemType)
		}
	}
	e.blocks = outer
	return nil
}

// mapEntry is an entry of a map[uint64]*T.
type mapEntry struct {
	key    uint64
	target unsafe.Pointer
}

// sortedEntries returns the entries of a map, ordered by key.
func sortedEntries(t reflect.Type, at unsafe.Pointer) (entries []mapEntry) {
	for i := reflect.NewAt(t, at).Elem().MapRange(); i.Next(); {
		entries = append(entries, mapEntry{i.Key().Uint(), i.Value().UnsafePointer()})
	}
	slices.SortFunc(entries, func(a, b mapEntry) int { return cmp.Compare(a.key, b.key) })
	return entries
}

func (e *encoder) uint(n uint64) { e.out = binary.AppendUvarint(e.out, n) }

// reference encodes an address as the number of its block, from 1, and the offset within it in bytes. The address
// must not be nil: pointer encodes a nil pointer as the number 0, without an offset.
func (e *encoder) reference(address uintptr) {
	i, _ := slices.BinarySearchFunc(e.blocks, address, func(b block, address uintptr) int {
		switch {
		case b.end() <= address:
			return -1
		case b.address > address:
			return 1
		}
		return 0
	})
	e.uint(uint64(i + 1))
	e.uint(uint64(address - e.blocks[i].address))
}

// value encodes the value of type t at an address. Pointers, slices and map values are encoded as references to blocks.
func (e *encoder) value(t reflect.Type, at unsafe.Pointer) {
	v := reflect.NewAt(t, at).Elem()
	switch t.Kind() {
	case reflect.Bool:
		e.bool(v.Bool())
	case reflect.Float32, reflect.Float64:
		e.out = binary.LittleEndian.AppendUint64(e.out, math.Float64bits(v.Float()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		e.out = binary.AppendVarint(e.out, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		e.uint(v.Uint())
	case reflect.String:
		e.uint(uint64(v.Len()))
		e.out = append(e.out, v.String()...)
	case reflect.Pointer:
		e.pointer(v)
	case reflect.Slice:
		e.uint(uint64(v.Len()))
		if v.Len() > 0 && t.Elem().Size() > 0 {
			e.reference(v.Pointer())
		}
	case reflect.Map:
		e.mapEntries(sortedEntries(t, at))
	case reflect.Array:
		for i := range t.Len() {
			e.value(t.Elem(), unsafe.Add(at, uintptr(i)*t.Elem().Size()))
		}
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			e.value(field.Type, unsafe.Add(at, field.Offset))
		}
	}
}

func (e *encoder) bool(b bool) {
	if b {
		e.out = append(e.out, 1)
	} else {
		e.out = append(e.out, 0)
	}
}

func (e *encoder) pointer(v reflect.Value) {
	if v.IsNil() {
		e.uint(0)
	} else {
		e.reference(v.Pointer())
	}
}

func (e *encoder) mapEntries(entries []mapEntry) {
	e.uint(uint64(len(entries)))
	for _, entry := range entries {
		e.uint(entry.key)
		e.reference(uintptr(entry.target))
	}
}
