// Package graphcodec encodes a value with everything that it refers to, and decodes the same graph again: unexported
// fields, shared pointers and pointers into the middle of other values included. Captures begin with the state of a
// running process in this form.
//
// The package knows nothing of what the values mean, and the form holds no names: a program can decode only what was
// encoded by one whose types have the same layout, which Layout identifies. A value must not be changed while it is
// encoded.
//
// # Use of unsafe
//
// Reflection alone cannot set unexported fields, nor tell that a pointer refers to an element of a slice or to a field
// of another value, and encoding/gob and encoding/json would copy what is shared. So the package works on addresses:
// the encoder finds the memory blocks that are reachable, merges those that overlap, and encodes each reference as a
// block and an offset; the decoder allocates the blocks and places the references into them.
//
// What holds nevertheless, for any input:
//
//   - Memory is allocated by reflect.MakeSlice with its true type, so the garbage collector knows its pointers. Blocks
//     keep an unsafe.Pointer; an address as a number is only compared, and never turned into a pointer.
//   - A decoded pointer is nil or points to a value of exactly its element type, within one block. A decoded slice lies
//     within one block, too, and its first element has its element type. That of the others is not checked: corrupt
//     input can decode to a slice that begins at a field and covers the fields behind it. Captures have checksums.
//   - Numbers that are out of range for their field are an error. Strings, slices and maps are no longer than the input
//     or the blocks allow, and all blocks together are limited, see the constants of the decoder.
//   - Types with functions, channels, interfaces, complex numbers, unsafe pointers, or maps other than from uint64 to
//     a pointer are an error.
//   - What is encoded is equal for equal layouts in memory; it can differ between two equal values, since blocks are
//     ordered by address.
package graphcodec
