package rehearse

import "os"

// WriteReport is replaced below.
func WriteReport(dir string, results []Result) error { _ = os.Args; return nil }
