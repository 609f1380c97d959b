package graphcodec

import (
	"errors"
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"
	"unsafe"
)

// block is a piece of memory with values of one type in a row: one that a pointer refers to, or the elements of a
// slice.
type block struct {
	address  uintptr
	elemType reflect.Type
	count    int
	base     unsafe.Pointer
}

func (b *block) size() uintptr { return uintptr(b.count) * b.elemType.Size() }

func (b *block) end() uintptr { return b.address + b.size() }

// element returns the address of a value.
func (b *block) element(i int) unsafe.Pointer {
	return unsafe.Add(b.base, uintptr(i)*b.elemType.Size())
}

// typeTable lists all types that a value of one type can refer to, in an order that follows from the type alone.
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

// add adds a type and those that it refers to. The path of fields that leads to it is for errors.
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
			return fmt.Errorf("%s: a map of this type cannot be encoded: %s", path, added)
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

// Layout returns a number that is the same in two programs if each can decode what the other encodes of type T. It
// follows from the kinds, sizes and offsets of all types that T refers to, and from no name. It returns an error if T
// refers to a type that cannot be encoded.
func Layout[T any]() (uint64, error) {
	table, err := newTypeTable(reflect.TypeFor[T]())
	if err != nil {
		return 0, err
	}
	hash := fnv.New64a()
	hash.Write([]byte(table.layout()))
	return hash.Sum64(), nil
}

// layout describes the types as text. Stored captures contain its hash, so it must not change.
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
