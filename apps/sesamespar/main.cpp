// The command of operators and callers.

int main()
{
    return 0;
}
