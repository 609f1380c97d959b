package graphcodec

import (
	"encoding/binary"
	"errors"
	"math"
	"reflect"
	"unsafe"
)

// Limits on what is decoded, so that corrupt input cannot take all memory.
const (
	maxBlocks = 1 << 22
	maxBytes  = 1 << 30 // total size of all blocks; also the maximum number of elements of a block or a slice

	// A block has at most maxCountPerByte elements for each byte of input, and minCountLimit more.
	maxCountPerByte = 8
	minCountLimit   = 64
)

// errCorrupt is the error for input that does not encode a value of the type. The decoder's methods panic with it, and
// Decode recovers.
var errCorrupt = errors.New("input is truncated or does not encode a value of this type")

// decoder decodes the list of blocks, then the values in them.
type decoder struct {
	*typeTable
	blocks []block
	in     []byte
}

// Decode decodes a value that Encode encoded. For corrupt input it returns an error or an arbitrary value.
func Decode[T any](data []byte) (value *T, err error) {
	root := reflect.TypeFor[T]()
	table, err := newTypeTable(root)
	if err != nil {
		return nil, err
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != any(errCorrupt) {
				panic(recovered)
			}
			value, err = nil, errCorrupt
		}
	}()
	d := &decoder{typeTable: table, in: data}
	d.allocate(len(data))
	start := d.reference(root, 1)
	for i := range d.blocks {
		b := &d.blocks[i]
		for k := range b.count {
			d.value(b.elemType, b.element(k))
		}
	}
	if start == nil || len(d.in) > 0 {
		return nil, errCorrupt
	}
	return (*T)(start), nil
}

// allocate decodes the list of blocks and allocates them. References can then be decoded in any order.
func (d *decoder) allocate(inputSize int) {
	blockCount := d.uintUpTo(maxBlocks)
	maxCount := uint64(inputSize)*maxCountPerByte + minCountLimit
	size := uint64(0)
	for range blockCount {
		elemType := d.types[d.uintUpTo(uint64(len(d.types)-1))]
		count := d.uintUpTo(maxBytes)
		size += count * uint64(elemType.Size())
		if size > maxBytes || count > maxCount {
			panic(errCorrupt)
		}
		elements := reflect.MakeSlice(reflect.SliceOf(elemType), int(count), int(count))
		d.blocks = append(d.blocks, block{elemType: elemType, count: int(count), base: elements.UnsafePointer()})
	}
}

func (d *decoder) uint() uint64 {
	n, size := binary.Uvarint(d.in)
	if size <= 0 {
		panic(errCorrupt)
	}
	d.in = d.in[size:]
	return n
}

// uintUpTo decodes a number that must not exceed a maximum.
func (d *decoder) uintUpTo(maximum uint64) uint64 {
	n := d.uint()
	if n > maximum {
		panic(errCorrupt)
	}
	return n
}

func (d *decoder) bytes(n uint64) []byte {
	if n > uint64(len(d.in)) {
		panic(errCorrupt)
	}
	out := d.in[:n]
	d.in = d.in[n:]
	return out
}

// reference decodes a reference to count values of type t and returns their address, or nil for a nil reference.
func (d *decoder) reference(t reflect.Type, count uint64) unsafe.Pointer {
	number := d.uintUpTo(uint64(len(d.blocks)))
	if number == 0 {
		return nil
	}
	b := &d.blocks[number-1]
	size := uint64(b.size())
	offset := d.uintUpTo(size)
	offsetInElement := uintptr(offset) % max(b.elemType.Size(), 1)
	if count*uint64(t.Size()) > size-offset || !contains(b.elemType, offsetInElement, t) {
		panic(errCorrupt)
	}
	return unsafe.Add(b.base, offset)
}

// contains reports whether a value of type t holds a value of another type at an offset in bytes.
func contains(t reflect.Type, offset uintptr, other reflect.Type) bool {
	if offset == 0 && t == other {
		return true
	}
	switch t.Kind() {
	case reflect.Array:
		elemSize := t.Elem().Size()
		return elemSize > 0 && offset < t.Size() && contains(t.Elem(), offset%elemSize, other)
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			isWithin := offset >= field.Offset && offset < field.Offset+field.Type.Size()
			if isWithin && contains(field.Type, offset-field.Offset, other) {
				return true
			}
		}
	}
	return false
}

// value decodes a value of type t into the memory at an address.
func (d *decoder) value(t reflect.Type, at unsafe.Pointer) {
	v := reflect.NewAt(t, at).Elem()
	switch t.Kind() {
	case reflect.Bool:
		v.SetBool(d.bytes(1)[0] != 0)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(math.Float64frombits(binary.LittleEndian.Uint64(d.bytes(8))))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.setInt(v)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.setUint(v)
	case reflect.String:
		v.SetString(string(d.bytes(d.uint())))
	case reflect.Pointer:
		*(*unsafe.Pointer)(at) = d.reference(t.Elem(), 1)
	case reflect.Slice:
		d.setSlice(v)
	case reflect.Map:
		d.setMap(v)
	case reflect.Array:
		for i := range t.Len() {
			d.value(t.Elem(), unsafe.Add(at, uintptr(i)*t.Elem().Size()))
		}
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			d.value(field.Type, unsafe.Add(at, field.Offset))
		}
	}
}

func (d *decoder) setInt(v reflect.Value) {
	n, size := binary.Varint(d.in)
	if size <= 0 || v.OverflowInt(n) {
		panic(errCorrupt)
	}
	d.in = d.in[size:]
	v.SetInt(n)
}

func (d *decoder) setUint(v reflect.Value) {
	n := d.uint()
	if v.OverflowUint(n) {
		panic(errCorrupt)
	}
	v.SetUint(n)
}

func (d *decoder) setSlice(v reflect.Value) {
	t := v.Type()
	length := d.uintUpTo(maxBytes)
	if length == 0 {
		return
	}
	if t.Elem().Size() == 0 {
		v.Set(reflect.MakeSlice(t, int(length), int(length)))
		return
	}
	elements := d.reference(t.Elem(), length)
	if elements == nil {
		panic(errCorrupt)
	}
	v.Set(reflect.SliceAt(t.Elem(), elements, int(length)).Convert(t))
}

func (d *decoder) setMap(v reflect.Value) {
	t := v.Type()
	length := d.uint()
	if length > uint64(len(d.in)) { // each entry takes more than a byte
		panic(errCorrupt)
	}
	v.Set(reflect.MakeMap(t))
	for range length {
		key := reflect.New(t.Key()).Elem()
		key.SetUint(d.uint())
		target := reflect.New(t.Elem())
		*(*unsafe.Pointer)(target.UnsafePointer()) = d.reference(t.Elem().Elem(), 1)
		v.SetMapIndex(key, target.Elem())
	}
}
