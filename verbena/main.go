// Command verbena is a program of verbenabank.
package main

func main() {}
