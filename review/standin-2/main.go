// Command reviewstandin holds the stand-ins for the platform, the replicas and the clients of the
// cases 6 to 10, and the cases themselves. It uses nothing but the standard library.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// A case plays its day and returns whether the rule held.
var cases = map[string]func(*record, bool) bool{
	"moved": playMoved, "left": playLeft, "grace": playGrace,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin CASE FOLDER")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	must(err)
	started.dir = dir
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	must(err)
	r := &record{file: file, began: time.Now()}
	time.AfterFunc(110*time.Second, func() { must(fmt.Errorf("not finished after 110 s")) })
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", os.Args[1], trouble)
	held := cases[os.Args[1]](r, trouble)
	r.add("rule held: %v", held)
	fmt.Println("rule held:", held)
	if held {
		exit(0)
	}
	exit(1)
}
