// The daemon: reads its settings, starts the traffic threads and runs the control loop.

int main()
{
    return 0;
}
