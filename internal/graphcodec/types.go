package graphcodec

import (
	"errors"
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"
	"unsafe"
)

// block is a region of memory that holds consecutive values of one type: the value that a pointer refers to, or the
// elements of a slice.
type block struct {
	address  uintptr // base as a number, for comparisons; the decoder leaves it 0
	elemType reflect.Type
	count    int
	base     unsafe.Pointer
}

func (b *block) size() uintptr { return uintptr(b.count) * b.elemType.Size() }

func (b *block) end() uintptr { return b.address + b.size() }

// element returns the address of element i.
func (b *block) element(i int) unsafe.Pointer {
	return unsafe.Add(b.base, uintptr(i)*b.elemType.Size())
}

// typeTable lists all types that a value of a root type can refer to, in an order that depends on the root type only.
type typeTable struct {
	types []reflect.Type
	index map[reflect.Type]int
}

func newTypeTable(root reflect.Type) (*typeTable, error) {
	table := &typeTable{index: map[reflect.Type]int{}}
	if err := table.add(root, root.String()); err != nil {
		return nil, err
	}
	return table, nil
}

// add adds a type and, recursively, the types that it refers to. The path is the chain of fields from the root type to
// the type, for error messages.
func (t *typeTable) add(added reflect.Type, path string) error {
	if _, ok := t.index[added]; ok {
		return nil
	}
	t.index[added] = len(t.types)
	t.types = append(t.types, added)
	switch added.Kind() {
	case reflect.Bool, reflect.String, reflect.Float32, reflect.Float64,
		reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return nil
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return t.add(added.Elem(), path+"[]")
	case reflect.Map:
		if added.Key().Kind() != reflect.Uint64 || added.Elem().Kind() != reflect.Pointer {
			return fmt.Errorf("%s: cannot encode %s: a map must be from uint64 to a pointer", path, added)
		}
		return errors.Join(t.add(added.Key(), path), t.add(added.Elem(), path))
	case reflect.Struct:
		for i := range added.NumField() {
			field := added.Field(i)
			if err := t.add(field.Type, path+"."+field.Name); err != nil {
				return err
			}
		}
		return nil
	}
	return fmt.Errorf("%s: a %s cannot be encoded", path, added.Kind())
}

// Layout returns a number that identifies the memory layout of T: two programs for which it is the same can decode each
// other's encodings of T. It is a hash of the kinds, sizes and offsets of all types that T refers to, without their
// names. It returns an error if T refers to a type that cannot be encoded.
func Layout[T any]() (uint64, error) {
	table, err := newTypeTable(reflect.TypeFor[T]())
	if err != nil {
		return 0, err
	}
	hash := fnv.New64a()
	hash.Write([]byte(table.layout()))
	return hash.Sum64(), nil
}

// layout describes the types as text. Stored captures contain the hash of that text, so its format must not change.
func (t *typeTable) layout() string {
	var text strings.Builder
	for _, described := range t.types {
		fmt.Fprintf(&text, "%s %d", described.Kind(), described.Size())
		switch described.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			fmt.Fprintf(&text, " %d", t.index[described.Elem()])
		case reflect.Map:
			fmt.Fprintf(&text, " %d %d", t.index[described.Key()], t.index[described.Elem()])
		case reflect.Struct:
			for i := range described.NumField() {
				field := described.Field(i)
				fmt.Fprintf(&text, " %d@%d", t.index[field.Type], field.Offset)
			}
		}
		text.WriteByte(';')
	}
	return text.String()
}
