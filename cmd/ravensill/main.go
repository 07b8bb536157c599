// Command ravensill runs one gateway. The environment variable GW_CONFIG names its configuration file. SIGTERM shuts
// the gateway down gracefully, and SIGHUP reloads the file.
package main

import (
	"ravensill/internal/node"
	"ravensill/internal/program"
)

func main() { program.Main(node.Platform{}) }
