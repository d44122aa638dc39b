#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// Prints ports that are free on all addresses, on one line.

int main(int argc, char** argv)
{
    int const count = argc > 1 ? std::atoi(argv[1]) : 1;
    std::vector<int> sockets;
    for (int i = 0; i < count; ++i)
    {
        int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const any = reinterpret_cast<sockaddr*>(&address);
        if (::bind(socket, any, size) != 0 ||
            ::getsockname(socket, any, &size) != 0)
        {
            return 1;
        }
        // Held until all are drawn, so that all differ.
        sockets.push_back(socket);
        std::cout << ntohs(address.sin_port) << (i + 1 < count ? " " : "\n");
    }
    for (int const each : sockets)
    {
        ::close(each);
    }
    return 0;
}
