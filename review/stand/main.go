// Command stand plays a case of the review: it starts the project's proxy with the deploy file's run line, stands in
// for clients, backends and discovery, and checks the rule from what these see. Usage: stand CASE FOLDER. It exits with
// 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import "os"

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]func(*bench){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: stand CASE FOLDER")
	}
	b := newBench(os.Args[2])
	cases[os.Args[1]](b)
	b.finish()
}
