// Command vload is a program of verbenabank.
package main

func main() {}
