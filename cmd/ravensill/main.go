// Command ravensill is one gateway on sockets.
package main

import (
	"ravensill/internal/node"
	"ravensill/internal/program"
)

func main() { program.Main(node.Platform{}) }
