// Package graphcodec writes down a value with all that hangs from it, unexported fields and pointers into the midst of other values
// included, and builds the same again: for captures, which begin in the middle of a life. It knows nothing of what the values mean. A
// program reads only what one with types of the same layout wrote; Layout tells them apart. It is not for values that others use meanwhile.
package graphcodec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"reflect"
	"slices"
	"strings"
	"unsafe"
)

// Bounds of what is read: a torn or foreign text must not take all memory.
const (
	blocksMost = 1 << 22
	bytesMost  = 1 << 30
)

// block is memory of one kind: a value that something points to, or the elements of a slice.
type block struct {
	at   uintptr
	of   reflect.Type
	n    int // of them in a row
	base unsafe.Pointer
}

func (b *block) end() uintptr { return b.at + uintptr(b.n)*b.of.Size() }

// kinds are all types that can hang from one, in an order that follows from the type alone.
type kinds struct {
	list []reflect.Type
	of   map[reflect.Type]int
}

func kindsOf(root reflect.Type) (*kinds, error) {
	k := &kinds{of: map[reflect.Type]int{}}
	return k, k.add(root, root.String())
}

func (k *kinds) add(t reflect.Type, path string) error {
	if _, ok := k.of[t]; ok {
		return nil
	}
	k.of[t] = len(k.list)
	k.list = append(k.list, t)
	switch t.Kind() {
	case reflect.Bool, reflect.String, reflect.Float32, reflect.Float64, reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return nil
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return k.add(t.Elem(), path+"[]")
	case reflect.Map:
		if t.Key().Kind() != reflect.Uint64 || t.Elem().Kind() != reflect.Pointer {
			return fmt.Errorf("%s: a map that cannot be written down: %s", path, t)
		}
		return errors.Join(k.add(t.Key(), path), k.add(t.Elem(), path))
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			if err := k.add(f.Type, path+"."+f.Name); err != nil {
				return err
			}
		}
		return nil
	}
	return fmt.Errorf("%s: a %s cannot be written down", path, t.Kind())
}

// Layout is a number that two programs share if what one writes of this type the other can read. It depends on the kinds, sizes and
// offsets of all types that hang from T, but on no name.
func Layout[T any]() (uint64, error) {
	k, err := kindsOf(reflect.TypeFor[T]())
	if err != nil {
		return 0, err
	}
	var b strings.Builder
	for _, t := range k.list {
		fmt.Fprintf(&b, "%s %d", t.Kind(), t.Size())
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			fmt.Fprintf(&b, " %d", k.of[t.Elem()])
		case reflect.Map:
			fmt.Fprintf(&b, " %d %d", k.of[t.Key()], k.of[t.Elem()])
		case reflect.Struct:
			for i := range t.NumField() {
				fmt.Fprintf(&b, " %d@%d", k.of[t.Field(i).Type], t.Field(i).Offset)
			}
		}
		b.WriteByte(';')
	}
	h := fnv.New64a()
	h.Write([]byte(b.String()))
	return h.Sum64(), nil
}

// writer finds the blocks, then writes them.
type writer struct {
	*kinds
	blocks []block
	seen   map[block]bool
	out    []byte
}

// Write writes a value down.
func Write[T any](v *T) ([]byte, error) {
	root := reflect.TypeFor[T]()
	k, err := kindsOf(root)
	if err != nil {
		return nil, err
	}
	w := &writer{kinds: k, seen: map[block]bool{}}
	w.find(block{uintptr(unsafe.Pointer(v)), root, 1, unsafe.Pointer(v)})
	// A block within another is no block of its own: the widest stand, by where they begin.
	slices.SortFunc(w.blocks, func(a, b block) int {
		if a.at != b.at {
			return int(min(max(int64(a.at)-int64(b.at), -1), 1))
		}
		return int(min(max(int64(b.end())-int64(a.end()), -1), 1))
	})
	var wide []block
	for _, b := range w.blocks {
		if n := len(wide); n > 0 && b.at < wide[n-1].end() {
			if b.end() > wide[n-1].end() {
				return nil, fmt.Errorf("%s: lies half within %s", b.of, wide[n-1].of)
			}
			continue
		}
		wide = append(wide, b)
	}
	w.blocks = wide
	w.out = binary.AppendUvarint(w.out, uint64(len(wide)))
	for _, b := range wide {
		w.out = binary.AppendUvarint(w.out, uint64(w.of[b.of]))
		w.out = binary.AppendUvarint(w.out, uint64(b.n))
	}
	w.refer(uintptr(unsafe.Pointer(v)))
	for _, b := range wide {
		for i := range b.n {
			w.value(b.of, unsafe.Add(b.base, uintptr(i)*b.of.Size()))
		}
	}
	return w.out, nil
}

// find notes a block and all that hang from it.
func (w *writer) find(b block) {
	if b.n == 0 || b.of.Size() == 0 || w.seen[b] {
		return
	}
	w.seen[b] = true
	w.blocks = append(w.blocks, b)
	if !hangs(b.of) {
		return
	}
	for i := range b.n {
		w.within(b.of, unsafe.Add(b.base, uintptr(i)*b.of.Size()))
	}
}

// hangs tells whether anything can hang from values of a type.
func hangs(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return true
	case reflect.Array:
		return hangs(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			if hangs(t.Field(i).Type) {
				return true
			}
		}
	}
	return false
}

func (w *writer) within(t reflect.Type, p unsafe.Pointer) {
	switch t.Kind() {
	case reflect.Pointer:
		if to := *(*unsafe.Pointer)(p); to != nil {
			w.find(block{uintptr(to), t.Elem(), 1, to})
		}
	case reflect.Slice:
		v := reflect.NewAt(t, p).Elem()
		w.find(block{v.Pointer(), t.Elem(), v.Len(), v.UnsafePointer()})
	case reflect.Map:
		for _, to := range entries(t, p) {
			w.find(block{uintptr(to.to), t.Elem().Elem(), 1, to.to})
		}
	case reflect.Array:
		for i := range t.Len() {
			w.within(t.Elem(), unsafe.Add(p, uintptr(i)*t.Elem().Size()))
		}
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			w.within(f.Type, unsafe.Add(p, f.Offset))
		}
	}
}

type entry struct {
	key uint64
	to  unsafe.Pointer
}

// entries are a map's, by key.
func entries(t reflect.Type, p unsafe.Pointer) (list []entry) {
	for i := reflect.NewAt(t, p).Elem().MapRange(); i.Next(); {
		list = append(list, entry{i.Key().Uint(), i.Value().UnsafePointer()})
	}
	slices.SortFunc(list, func(a, b entry) int { return int(min(max(int64(a.key)-int64(b.key), -1), 1)) })
	return list
}

// refer writes where something lies: which block, and how far into it; 0 is nowhere.
func (w *writer) refer(at uintptr) {
	i, _ := slices.BinarySearchFunc(w.blocks, at, func(b block, at uintptr) int {
		switch {
		case b.end() <= at:
			return -1
		case b.at > at:
			return 1
		}
		return 0
	})
	w.out = binary.AppendUvarint(w.out, uint64(i+1))
	w.out = binary.AppendUvarint(w.out, uint64(at-w.blocks[i].at))
}

func (w *writer) value(t reflect.Type, p unsafe.Pointer) {
	v := reflect.NewAt(t, p).Elem()
	switch t.Kind() {
	case reflect.Bool:
		w.out = append(w.out, map[bool]byte{true: 1}[v.Bool()])
	case reflect.Float32, reflect.Float64:
		w.out = binary.LittleEndian.AppendUint64(w.out, math.Float64bits(v.Float()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		w.out = binary.AppendVarint(w.out, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		w.out = binary.AppendUvarint(w.out, v.Uint())
	case reflect.String:
		w.out = binary.AppendUvarint(w.out, uint64(v.Len()))
		w.out = append(w.out, v.String()...)
	case reflect.Pointer:
		if v.IsNil() {
			w.out = append(w.out, 0)
		} else {
			w.refer(v.Pointer())
		}
	case reflect.Slice:
		w.out = binary.AppendUvarint(w.out, uint64(v.Len()))
		if v.Len() > 0 && t.Elem().Size() > 0 {
			w.refer(v.Pointer())
		}
	case reflect.Map:
		list := entries(t, p)
		w.out = binary.AppendUvarint(w.out, uint64(len(list)))
		for _, e := range list {
			w.out = binary.AppendUvarint(w.out, e.key)
			w.refer(uintptr(e.to))
		}
	case reflect.Array:
		for i := range t.Len() {
			w.value(t.Elem(), unsafe.Add(p, uintptr(i)*t.Elem().Size()))
		}
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			w.value(f.Type, unsafe.Add(p, f.Offset))
		}
	}
}

// errTorn is a text that no value was written as.
var errTorn = errors.New("it ends early, or was not written as this")

type reader struct {
	*kinds
	blocks []block
	in     []byte
}

// Read builds a value anew.
func Read[T any](text []byte) (v *T, err error) {
	root := reflect.TypeFor[T]()
	k, err := kindsOf(root)
	if err != nil {
		return nil, err
	}
	r := &reader{kinds: k, in: text}
	defer func() {
		if e := recover(); e != nil {
			if e != any(errTorn) {
				panic(e)
			}
			v, err = nil, errTorn
		}
	}()
	n := r.most(r.uint(), blocksMost)
	sum := uint64(0)
	for range n {
		kind := r.most(r.uint(), uint64(len(k.list)-1))
		of := k.list[kind]
		count := r.most(r.uint(), bytesMost)
		if sum += count * uint64(of.Size()); sum > bytesMost || count > uint64(len(text))*8+64 {
			panic(errTorn)
		}
		made := reflect.MakeSlice(reflect.SliceOf(of), int(count), int(count))
		r.blocks = append(r.blocks, block{of: of, n: int(count), base: made.UnsafePointer()})
	}
	at := r.place(root, 1)
	for i := range r.blocks {
		b := &r.blocks[i]
		for i := range b.n {
			r.value(b.of, unsafe.Add(b.base, uintptr(i)*b.of.Size()))
		}
	}
	if at == nil || len(r.in) > 0 {
		return nil, errTorn
	}
	return (*T)(at), nil
}

func (r *reader) most(n, most uint64) uint64 {
	if n > most {
		panic(errTorn)
	}
	return n
}

func (r *reader) uint() uint64 {
	n, size := binary.Uvarint(r.in)
	if size <= 0 {
		panic(errTorn)
	}
	r.in = r.in[size:]
	return n
}

func (r *reader) bytes(n uint64) []byte {
	out := r.in[:r.most(n, uint64(len(r.in)))]
	r.in = r.in[n:]
	return out
}

// place is where something lies that has so many of a type; nil: nowhere.
func (r *reader) place(of reflect.Type, n uint64) unsafe.Pointer {
	i := r.most(r.uint(), uint64(len(r.blocks)))
	if i == 0 {
		return nil
	}
	b := &r.blocks[i-1]
	off := r.most(r.uint(), uint64(b.n)*uint64(b.of.Size()))
	if n*uint64(of.Size()) > uint64(b.n)*uint64(b.of.Size())-off || !fits(b.of, uintptr(off)%max(b.of.Size(), 1), of) {
		panic(errTorn)
	}
	return unsafe.Add(b.base, off)
}

// fits tells whether a type's values have one of another type at an offset.
func fits(t reflect.Type, off uintptr, of reflect.Type) bool {
	if off == 0 && t == of {
		return true
	}
	switch t.Kind() {
	case reflect.Array:
		return t.Elem().Size() > 0 && off < t.Size() && fits(t.Elem(), off%t.Elem().Size(), of)
	case reflect.Struct:
		for i := range t.NumField() {
			if f := t.Field(i); off >= f.Offset && off < f.Offset+f.Type.Size() && fits(f.Type, off-f.Offset, of) {
				return true
			}
		}
	}
	return false
}

func (r *reader) value(t reflect.Type, p unsafe.Pointer) {
	v := reflect.NewAt(t, p).Elem()
	switch t.Kind() {
	case reflect.Bool:
		v.SetBool(r.bytes(1)[0] != 0)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(math.Float64frombits(binary.LittleEndian.Uint64(r.bytes(8))))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n, size := binary.Varint(r.in)
		if size <= 0 || v.OverflowInt(n) {
			panic(errTorn)
		}
		r.in = r.in[size:]
		v.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n := r.uint()
		if v.OverflowUint(n) {
			panic(errTorn)
		}
		v.SetUint(n)
	case reflect.String:
		v.SetString(string(r.bytes(r.uint())))
	case reflect.Pointer:
		*(*unsafe.Pointer)(p) = r.place(t.Elem(), 1)
	case reflect.Slice:
		n := r.most(r.uint(), bytesMost)
		switch {
		case n == 0:
		case t.Elem().Size() == 0:
			v.Set(reflect.MakeSlice(t, int(n), int(n)))
		default:
			at := r.place(t.Elem(), n)
			if at == nil {
				panic(errTorn)
			}
			v.Set(reflect.SliceAt(t.Elem(), at, int(n)).Convert(t))
		}
	case reflect.Map:
		n := r.most(r.uint(), uint64(len(r.in)))
		v.Set(reflect.MakeMap(t))
		for range n {
			key := reflect.New(t.Key()).Elem()
			key.SetUint(r.uint())
			to := reflect.New(t.Elem())
			*(*unsafe.Pointer)(to.UnsafePointer()) = r.place(t.Elem().Elem(), 1)
			v.SetMapIndex(key, to.Elem())
		}
	case reflect.Array:
		for i := range t.Len() {
			r.value(t.Elem(), unsafe.Add(p, uintptr(i)*t.Elem().Size()))
		}
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			r.value(f.Type, unsafe.Add(p, f.Offset))
		}
	}
}
