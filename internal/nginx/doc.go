// Package nginx converts configuration files of nginx to operator files. It reads them by their published syntax
// (Reader, Parse) and translates what their upstream, server and location blocks mean (Convert). Each directive gets a
// verdict: carried, carried with a stated difference, or refused with what to do about it; one that is not known is
// refused.
//
// It runs nothing and opens no files but those it is given or that an include names below a root. It routes nothing
// either: what it writes is read by internal/config like any other operator file.
package nginx
