#include "main/Commands.h"

int main(int ArgumentCount, char **Arguments) {
  return turmericpitch::runCommand(ArgumentCount, Arguments);
}
