// Package graphcodec encodes a value together with everything that it refers to, and decodes it to the same graph.
// Unexported fields, shared pointers, and pointers to slice elements and struct fields are preserved. The state of a
// running process in captures is encoded in this way.
//
// The encoding holds no names of types or fields: a program can decode only what was encoded by a program whose types
// have the same layout, which Layout identifies. A value must not be changed while it is encoded.
//
// # Use of unsafe
//
// Reflection alone cannot set unexported fields, nor detect that a pointer refers to an element of a slice or to a
// field of another value, and encoding/gob and encoding/json would copy shared values. So the package works on
// addresses: the encoder finds the reachable memory blocks, drops those that lie within another, and encodes each
// reference as a block and an offset; the decoder allocates the blocks and sets the references.
//
// Despite the use of unsafe, the following holds for any input:
//
//   - Memory is allocated by reflect.MakeSlice with its true type, so the garbage collector knows its pointers. Blocks
//     keep an unsafe.Pointer; an address as a number is only compared, and never turned into a pointer.
//   - A decoded pointer is nil or points to a value of exactly its element type, within one block. A decoded slice lies
//     within one block, too, and its first element has its element type. The types of the other elements are not
//     checked: corrupt input can decode to a slice that begins at a field and covers the fields after it. Captures have
//     checksums that detect such input.
//   - Numbers that are out of range for their field are an error. The length of strings, slices and maps is limited by
//     the input or the blocks, and the total size of the blocks by the constants of the decoder.
//   - Types that contain functions, channels, interfaces, complex numbers, unsafe pointers, or maps other than from
//     uint64 to a pointer are an error.
//   - The encodings of two equal values can differ, since blocks are ordered by address; they are the same if the
//     values are laid out in memory in the same way.
package graphcodec
